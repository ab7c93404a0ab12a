// Package record holds the wire types of the records that the system keeps in
// the platform's log. One log entry is one append and carries a group of
// envelopes. The codec is CBOR with integer keys; decoders ignore keys that
// they do not know, and a change of meaning takes a new version.
package record

import (
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/oklog/ulid/v2"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Version is the version of the records that this program writes.
const Version = 1

// ID identifies a record. A record that is appended twice keeps its ID, so a
// fold counts it once.
type ID [16]byte

// NewID returns a fresh ID.
func NewID(now time.Time) ID {
	return ID(ulid.MustNew(ulid.Timestamp(now), rand.Reader))
}

// String returns the ID in its usual text form.
func (i ID) String() string { return ulid.ULID(i).String() }

// MarshalText implements encoding.TextMarshaler.
func (i ID) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (i *ID) UnmarshalText(text []byte) error {
	id, err := ulid.ParseStrict(string(text))
	*i = ID(id)
	return errors.Wrap(err, "parse record ID")
}

// Kind tells what the body of an envelope holds.
type Kind string

// The kinds of record.
const (
	KindSnapshot Kind = "snapshot"
	KindPublish  Kind = "publish"
	KindAccept   Kind = "accept"
	KindDispatch Kind = "dispatch"
	KindSettle   Kind = "settle"
	KindCancel   Kind = "cancel"
	KindTakeover Kind = "takeover"
	KindCharge   Kind = "charge"
	KindClaim    Kind = "claim"
	KindRelease  Kind = "release"
	KindIntent   Kind = "intent"
	KindSuspect  Kind = "suspect"
	KindConvict  Kind = "convict"
)

// Envelope is one record.
type Envelope struct {
	Version int             `cbor:"1,keyasint"`
	ID      ID              `cbor:"2,keyasint"`
	Kind    Kind            `cbor:"3,keyasint"`
	Body    cbor.RawMessage `cbor:"4,keyasint"`
}

// Position is where a record stands in its stream. Time is the log's own time
// of the append, so that every reader folds the same value.
type Position struct {
	Offset fleet.Offset
	Index  int
	Time   time.Time
}

// Snapshot is a chunk of a fold's state. AsOf is the first offset whose entry
// the state does not include.
type Snapshot struct {
	AsOf  fleet.Offset `cbor:"1,keyasint"`
	Part  int          `cbor:"2,keyasint"`
	Parts int          `cbor:"3,keyasint"`
	Data  []byte       `cbor:"4,keyasint"`
	// Set is shared by the chunks of one snapshot.
	Set ID `cbor:"5,keyasint"`
}

// Publish asks to put a configuration in force.
type Publish struct {
	Base     fleet.Revision `cbor:"1,keyasint"`
	Document []byte         `cbor:"2,keyasint"`
	Author   string         `cbor:"3,keyasint"`
	Message  string         `cbor:"4,keyasint"`
}

// Accept records that an order was taken on. The first in stream order wins.
type Accept struct {
	Ref      fleet.KeyRef   `cbor:"1,keyasint"`
	Digest   fleet.Digest   `cbor:"2,keyasint"`
	Owner    fleet.NodeRef  `cbor:"3,keyasint"`
	Pool     fleet.PoolName `cbor:"4,keyasint"`
	Method   string         `cbor:"5,keyasint"`
	Path     string         `cbor:"6,keyasint"`
	Type     string         `cbor:"7,keyasint"`
	Body     []byte         `cbor:"8,keyasint"`
	Deadline time.Time      `cbor:"9,keyasint"`
	Window   time.Duration  `cbor:"10,keyasint"`
	// Repeatable is set for accepted asynchronous work that may run again
	// after its node died.
	Repeatable bool `cbor:"11,keyasint,omitempty"`
}

// Dispatch grants its node the right to send the order to an endpoint.
type Dispatch struct {
	Ref    fleet.KeyRef  `cbor:"1,keyasint"`
	Accept ID            `cbor:"2,keyasint"`
	Term   int           `cbor:"3,keyasint"`
	Owner  fleet.NodeRef `cbor:"4,keyasint"`
}

// Settle records how an order ended.
type Settle struct {
	Ref     fleet.KeyRef     `cbor:"1,keyasint"`
	Accept  ID               `cbor:"2,keyasint"`
	Term    int              `cbor:"3,keyasint"`
	Owner   fleet.NodeRef    `cbor:"4,keyasint"`
	Outcome fleet.Outcome    `cbor:"5,keyasint"`
	Status  int              `cbor:"6,keyasint"`
	Type    string           `cbor:"7,keyasint"`
	Answer  []byte           `cbor:"8,keyasint"`
	Detail  string           `cbor:"9,keyasint"`
	Cost    fleet.MicroCents `cbor:"10,keyasint"`
}

// Cancel settles an order as not run if no dispatch precedes it. It names the
// accept, which may itself not be in the stream yet.
type Cancel struct {
	Ref    fleet.KeyRef `cbor:"1,keyasint"`
	Accept ID           `cbor:"2,keyasint"`
	Detail string       `cbor:"3,keyasint"`
	// Window is how long the cancellation of an accept not yet seen is kept.
	Window time.Duration `cbor:"4,keyasint"`
}

// Takeover moves an order that was not dispatched to a new owner, and settles
// a dispatched one as unknown.
type Takeover struct {
	Ref    fleet.KeyRef  `cbor:"1,keyasint"`
	Accept ID            `cbor:"2,keyasint"`
	Term   int           `cbor:"3,keyasint"`
	Owner  fleet.NodeRef `cbor:"4,keyasint"`
}

// Charges is a batch of charges by one writer. Batches of a writer are numbered
// from 1 and written one after the other, so that a fold needs only the last
// number to count each batch once.
type Charges struct {
	Writer   fleet.NodeRef `cbor:"1,keyasint"`
	Sequence uint64        `cbor:"2,keyasint"`
	Items    []Charge      `cbor:"3,keyasint"`
}

// Charge bills one request.
type Charge struct {
	Request   fleet.RequestID   `cbor:"1,keyasint"`
	Account   fleet.AccountName `cbor:"2,keyasint"`
	Pool      fleet.PoolName    `cbor:"3,keyasint"`
	Prompt    fleet.Tokens      `cbor:"4,keyasint,omitempty"`
	Generated fleet.Tokens      `cbor:"5,keyasint,omitempty"`
	// Recomputed tokens are the system's loss and are not billed.
	Recomputed fleet.Tokens     `cbor:"6,keyasint,omitempty"`
	Cost       fleet.MicroCents `cbor:"7,keyasint,omitempty"`
	// Keyed is set for a request that another node may take over, and so
	// charge as well; the first in stream order counts.
	Keyed bool `cbor:"8,keyasint,omitempty"`
}

// UnknownKindError reports a record that this program cannot fold.
type UnknownKindError struct {
	Kind    Kind
	Version int
}

// Error implements error.
func (e *UnknownKindError) Error() string {
	return "record of unknown kind " + string(e.Kind)
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	o := cbor.CoreDetEncOptions()
	// Text keeps times exact. A float loses less than a microsecond, which is
	// enough for a loaded state to expire a key that a replayed one still holds.
	o.Time = cbor.TimeRFC3339NanoUTC
	m, err := o.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// New wraps a body in an envelope with a fresh ID.
func New(kind Kind, now time.Time, body any) (e Envelope, err error) {
	raw, err := encoder.Marshal(body)
	if err != nil {
		return Envelope{}, errors.Wrapf(err, "encode %s record", kind)
	}
	return Envelope{Version: Version, ID: NewID(now), Kind: kind, Body: raw}, nil
}

// Decode decodes the body of an envelope.
func Decode[T any](e Envelope) (body T, err error) {
	if e.Version > Version {
		return body, &UnknownKindError{Kind: e.Kind, Version: e.Version}
	}
	err = decoder.Unmarshal(e.Body, &body)
	return body, errors.Wrapf(err, "decode %s record", e.Kind)
}

// EncodeGroup encodes envelopes as the data of one log entry.
func EncodeGroup(group []Envelope) (data []byte, err error) {
	data, err = encoder.Marshal(group)
	return data, errors.Wrap(err, "encode log entry")
}

// DecodeGroup decodes the data of one log entry.
func DecodeGroup(data []byte) (group []Envelope, err error) {
	err = decoder.Unmarshal(data, &group)
	return group, errors.Wrap(err, "decode log entry")
}

// Marshal encodes a value with the codec of the records.
func Marshal(value any) (data []byte, err error) {
	data, err = encoder.Marshal(value)
	return data, errors.Wrap(err, "encode value")
}

// Unmarshal decodes a value with the codec of the records.
func Unmarshal(data []byte, value any) error {
	return errors.Wrap(decoder.Unmarshal(data, value), "decode value")
}
