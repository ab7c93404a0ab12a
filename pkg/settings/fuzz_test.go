package settings_test

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/settings"
	"github.com/skylarkloom/skylarkloom/pkg/strict"
)

const validSettings = `node: entry-1
datacentre: tb-vake
callers: {address: "127.0.0.1:8080"}
operators: {address: "127.0.0.1:8081", token: {variable: PATH}}
platform: {log: "http://127.0.0.1:1", list: "http://127.0.0.1:1", cloud: "http://127.0.0.1:1"}
stop: {notice: 2s, limit: 1m}
`

func FuzzSettings(f *testing.F) {
	for _, seed := range []string{validSettings, "", "node: [", "a: &a [*a]", "node: 1\nnode: 2", "callers: {address: x}", "stop: {notice: -1s}", "- 1"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse("node.yaml", data)
		var strictErr *strict.Error
		switch {
		case err == nil && (s.Node == "" || s.Shutdown.UnreadyDelay <= 0 || s.Shutdown.DrainTimeout <= 0):
			t.Fatalf("invalid settings %q were accepted as %+v", data, s)
		case err != nil && !errors.As(err, &strictErr):
			t.Fatalf("unexpected error type: %T", err)
		case err != nil && len(strictErr.Problems) == 0:
			t.Fatal("the error lists no problem")
		}
	})
}

func TestValidSettings(t *testing.T) {
	s, err := settings.Parse("node.yaml", []byte(validSettings))
	if err != nil || s.Shutdown.UnreadyDelay.String() != "2s" {
		t.Fatalf("%+v: %v", s, err)
	}
}
