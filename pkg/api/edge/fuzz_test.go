package edge_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
)

func FuzzContent(f *testing.F) {
	for _, seed := range []string{`"x"`, `null`, `[]`, `["a",{"type":"text","text":"b"}]`, `[{"type":"image_url"}]`, `{}`, `"\ud800"`, ` "x" `} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data string) {
		var c edge.Content
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return
		}
		again, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		var back edge.Content
		if err := json.Unmarshal(again, &back); err != nil || back != c {
			t.Fatalf("%q became %q: %v", c, back, err)
		}
		if json.Valid([]byte(data)) && !strings.HasPrefix(strings.TrimSpace(data), "[") && strings.TrimSpace(data) != "null" {
			var plain string
			if err := json.Unmarshal([]byte(data), &plain); err != nil || plain != string(c) {
				t.Fatalf("the string %s was read as %q", data, c)
			}
		}
	})
}

func FuzzUnsupported(f *testing.F) {
	for _, seed := range []string{`{"n":1}`, `{"n": 1 }`, `{"stop":null}`, `{"tools":[ ]}`, `{"n":2}`, `{`, `[]`, `{"n":1,"n":2}`} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data string) {
		field := edge.Unsupported([]byte(data))
		if field != "" && !json.Valid([]byte(data)) {
			t.Fatalf("field %q of a body that is no JSON", field)
		}
	})
}
