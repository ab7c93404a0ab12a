package edge

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// Content is a text that callers send as a string or as a list of text parts.
type Content string

var (
	errContent = errors.New("expected a string or a list of text parts")
	errPrompt  = errors.New("expected one prompt, as a string")
)

// UnmarshalJSON implements json.Unmarshaler.
func (c *Content) UnmarshalJSON(data []byte) error {
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, []byte("null")) {
		return nil
	}
	if len(data) > 0 && data[0] == '"' {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return errContent
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return errContent
		}
		b.WriteString(p.Text)
	}
	*c = Content(b.String())
	return nil
}

type contentPart struct {
	Type string
	Text string
}

// UnmarshalJSON implements json.Unmarshaler. A content part is a string or an
// object.
func (p *contentPart) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		p.Type = "text"
		return json.Unmarshal(data, &p.Text)
	}
	var object struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	err := json.Unmarshal(data, &object)
	p.Type, p.Text = object.Type, object.Text
	return err
}
