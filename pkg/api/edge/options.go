package edge

import (
	"bytes"
	"encoding/json"
	"slices"
)

// option is a field of a request that is honoured only with some values.
type option struct {
	name    string
	allowed []string
}

// options lists the fields that would change the answer in a way that the
// engines' interface cannot express. Fields that only steer the sampling or
// describe the caller are accepted and have no effect.
var options = []option{
	{"n", []string{"1"}},
	{"best_of", []string{"1"}},
	{"stop", []string{"[]", `""`}},
	{"tools", []string{"[]"}},
	{"functions", []string{"[]"}},
	{"tool_choice", []string{`"none"`, `"auto"`}},
	{"function_call", []string{`"none"`, `"auto"`}},
	{"logprobs", []string{"false"}},
	{"top_logprobs", []string{"0"}},
	{"logit_bias", []string{"{}"}},
	{"response_format", []string{`{"type":"text"}`}},
	{"modalities", []string{"[]", `["text"]`}},
	{"audio", nil},
	{"web_search_options", nil},
	{"echo", []string{"false"}},
	{"suffix", []string{`""`}},
	{"store", []string{"false"}},
}

// Unsupported returns the name of the first field of a request's body that
// asks for something that cannot be honoured; the empty string if none does.
func Unsupported(body []byte) (field string) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return ""
	}
	for _, o := range options {
		if raw, set := fields[o.name]; set && !o.allows(raw) {
			return o.name
		}
	}
	return ""
}

func (o option) allows(raw json.RawMessage) bool {
	var b bytes.Buffer
	if err := json.Compact(&b, raw); err != nil {
		return false
	}
	return b.String() == "null" || slices.Contains(o.allowed, b.String())
}

// Prompt is the prompt of a completion: a string or a list of one string.
type Prompt string

// UnmarshalJSON implements json.Unmarshaler.
func (p *Prompt) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		return json.Unmarshal(data, (*string)(p))
	}
	var list []string
	if err := json.Unmarshal(data, &list); err != nil || len(list) != 1 {
		return errPrompt
	}
	*p = Prompt(list[0])
	return nil
}
