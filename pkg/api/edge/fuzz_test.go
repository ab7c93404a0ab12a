package edge_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
)

// FuzzContent checks that a content that can be decoded is encoded and decoded
// again without a change, and that a JSON string is decoded as a string.
func FuzzContent(f *testing.F) {
	for _, seed := range []string{`"x"`, `null`, `[]`, `["a",{"type":"text","text":"b"}]`, `[{"type":"image_url"}]`, `{}`, `"\ud800"`, ` "x" `} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data string) {
		var c edge.Content
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return
		}
		encoded, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		var decoded edge.Content
		if err := json.Unmarshal(encoded, &decoded); err != nil || decoded != c {
			t.Fatalf("%q is %q after encoding and decoding: %v", c, decoded, err)
		}
		if json.Valid([]byte(data)) && !strings.HasPrefix(strings.TrimSpace(data), "[") && strings.TrimSpace(data) != "null" {
			var plain string
			if err := json.Unmarshal([]byte(data), &plain); err != nil || plain != string(c) {
				t.Fatalf("string %s is decoded as %q", data, c)
			}
		}
	})
}

// FuzzUnsupported checks that only valid JSON is reported to have an unsupported
// field.
func FuzzUnsupported(f *testing.F) {
	for _, seed := range []string{`{"n":1}`, `{"n": 1 }`, `{"stop":null}`, `{"tools":[ ]}`, `{"n":2}`, `{`, `[]`, `{"n":1,"n":2}`} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data string) {
		field := edge.Unsupported([]byte(data))
		if field != "" && !json.Valid([]byte(data)) {
			t.Fatalf("unsupported field %q reported for invalid JSON", field)
		}
	})
}
