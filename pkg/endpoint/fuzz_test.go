package endpoint_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
)

// FuzzEvents passes arbitrary data through Events and an Assembly. It checks that
// tokens are accepted in order and without a gap.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		"data: {\"attempt\":1,\"position\":0,\"text\":\"a\"}\n\ndata: {\"attempt\":1,\"position\":1,\"text\":\"b\"}\n\n",
		"data:{\"attempt\":1,\"position\":1}\r\n\r\n: comment\n\n", "data: {\"attempt\":1,\"done\":true}\n\n", "data", "data:\n\n", "event: x\ndata: 1\n\n",
		"data: {\"attempt\":1,\"position\":-1}\n\n", "data: null\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var a generation.Assembly
		a.Begin()
		for event, err := range endpoint.Events(bytes.NewReader(data)) {
			if err != nil {
				return
			}
			var frame engine.Frame
			if json.Unmarshal(event, &frame) != nil {
				continue
			}
			before := len(a.Tokens())
			accepted := a.Add(frame)
			if accepted && (frame.Attempt != 1 || frame.Position != before) {
				t.Fatalf("accepted %+v at position %d", frame, before)
			}
			if added := len(a.Tokens()) - before; added > 1 || added == 1 && a.Tokens()[before] != frame.Text {
				t.Fatalf("added %d tokens", added)
			}
		}
	})
}

// FuzzEventText encodes events as an engine does and checks that Events returns them
// unchanged.
func FuzzEventText(f *testing.F) {
	f.Add("a", "b\n")
	f.Add("data: ", "\r\n\r\n")
	f.Fuzz(func(t *testing.T, first, second string) {
		var b strings.Builder
		var want []string
		for _, text := range []string{first, second} {
			data, err := json.Marshal(engine.Frame{Text: text})
			if err != nil {
				t.Fatal(err)
			}
			want = append(want, string(data))
			b.WriteString("data: " + string(data) + "\n\n")
		}
		var got []string
		for event, err := range endpoint.Events(strings.NewReader(b.String())) {
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, string(event))
		}
		if strings.Join(got, "\n") != strings.Join(want, "\n") {
			t.Fatalf("read %q, want %q", got, want)
		}
	})
}
