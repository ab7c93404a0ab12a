package edge

import (
	"bytes"
	"encoding/json"
	"slices"
)

// restrictedField is a request field that is supported with some values only.
type restrictedField struct {
	name    string
	allowed []string
}

// restrictedFields lists the fields that would change the response in a way that
// the engines' interface does not support. Fields that only control sampling or
// describe the caller are accepted and have no effect.
var restrictedFields = []restrictedField{
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

// Unsupported returns the name of a field of a request body whose value is not
// supported, the first one in the order of restrictedFields, or the empty string
// if there is none.
func Unsupported(body []byte) (field string) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return ""
	}
	for _, f := range restrictedFields {
		if raw, set := fields[f.name]; set && !f.allows(raw) {
			return f.name
		}
	}
	return ""
}

// allows reports whether the field is supported with a value. The value null is
// always allowed.
func (f restrictedField) allows(raw json.RawMessage) bool {
	var b bytes.Buffer
	if err := json.Compact(&b, raw); err != nil {
		return false
	}
	return b.String() == "null" || slices.Contains(f.allowed, b.String())
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
