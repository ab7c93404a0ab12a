package record_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// FuzzGroup checks that a log entry that can be decoded is encoded and decoded
// again without a change, and that no body makes a decoder panic.
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
			_, _ = record.Decode[record.SnapshotChunk](e)
			_, _ = record.Decode[record.Publish](e)
		}
		first, err := record.EncodeGroup(group)
		if err != nil {
			t.Fatalf("encode the decoded group: %v", err)
		}
		decoded, err := record.DecodeGroup(first)
		if err != nil {
			t.Fatalf("decode the encoded group: %v", err)
		}
		second, err := record.EncodeGroup(decoded)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("%x is encoded as %x after a decode: %v", first, second, err)
		}
	})
}
