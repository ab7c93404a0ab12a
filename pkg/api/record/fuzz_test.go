package record_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// FuzzGroup reads log entries: what can be read is written and read again as
// the same, and no body crashes a decoder.
func FuzzGroup(f *testing.F) {
	e, err := record.New(record.KindAccept, time.Unix(1, 0), record.Accept{Ref: fleet.KeyRef{Account: "a", Key: "k"}, Body: []byte("x")})
	if err != nil {
		f.Fatal(err)
	}
	seed, err := record.EncodeGroup([]record.Envelope{e, e})
	if err != nil {
		f.Fatal(err)
	}
	for _, s := range [][]byte{seed, seed[:len(seed)/2], {0x80}, {0x9f}, {0xff}, nil} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		group, err := record.DecodeGroup(data)
		if err != nil {
			return
		}
		for _, e := range group {
			_, _ = record.Decode[record.Accept](e)
			_, _ = record.Decode[record.Settle](e)
			_, _ = record.Decode[record.Snapshot](e)
			_, _ = record.Decode[record.Publish](e)
		}
		once, err := record.EncodeGroup(group)
		if err != nil {
			t.Fatalf("what was read cannot be written: %v", err)
		}
		again, err := record.DecodeGroup(once)
		if err != nil {
			t.Fatalf("what was written cannot be read: %v", err)
		}
		twice, err := record.EncodeGroup(again)
		if err != nil || !bytes.Equal(once, twice) {
			t.Fatalf("%x became %x: %v", once, twice, err)
		}
	})
}
