// Package record defines the wire types of the records that are stored in the
// platform's log. A log entry is the result of one append and contains a group
// of envelopes. The encoding is CBOR with integer keys. Decoders ignore unknown
// keys; a change of meaning requires a new version.
package record

import (
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/oklog/ulid/v2"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Version is the version of the records that this package writes.
const Version = 1

// ID identifies a record. A record that is appended twice keeps its ID, so that
// it is applied once.
type ID [16]byte

// NewID returns a new unique ID.
func NewID(now time.Time) ID {
	return ID(ulid.MustNew(ulid.Timestamp(now), rand.Reader))
}

// String returns the ID in the text form of a ULID.
func (i ID) String() string { return ulid.ULID(i).String() }

// MarshalText implements encoding.TextMarshaler.
func (i ID) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (i *ID) UnmarshalText(text []byte) error {
	id, err := ulid.ParseStrict(string(text))
	*i = ID(id)
	return errors.Wrap(err, "parse record ID")
}

// Kind is the type of the body of an envelope.
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

// Envelope is one record with its ID, kind and encoded body.
type Envelope struct {
	Version int             `cbor:"1,keyasint"`
	ID      ID              `cbor:"2,keyasint"`
	Kind    Kind            `cbor:"3,keyasint"`
	Body    cbor.RawMessage `cbor:"4,keyasint"`
}

// Position is the position of a record in its stream. Index is its index in the
// entry at Offset. Time is the time that the log assigned to the append, so that
// every reader applies the same value.
type Position struct {
	Offset fleet.Offset
	Index  int
	Time   time.Time
}

// SnapshotChunk is one chunk of a snapshot of a stream's state. NextOffset is the
// first offset whose entry the state does not include.
type SnapshotChunk struct {
	NextOffset fleet.Offset `cbor:"1,keyasint"`
	Chunk      int          `cbor:"2,keyasint"`
	Chunks     int          `cbor:"3,keyasint"`
	Data       []byte       `cbor:"4,keyasint"`
	// Set identifies the snapshot; all its chunks have the same value.
	Set ID `cbor:"5,keyasint"`
}

// Publish requests that a configuration becomes the current one.
type Publish struct {
	Base     fleet.Revision `cbor:"1,keyasint"`
	Document []byte         `cbor:"2,keyasint"`
	Author   string         `cbor:"3,keyasint"`
	Message  string         `cbor:"4,keyasint"`
}

// Accept records that an order was accepted. The first accept of a key in stream
// order is the valid one.
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
	// Window is how long the key and the order are kept after the log time of the
	// accept.
	Window time.Duration `cbor:"10,keyasint"`
	// Repeatable is set for asynchronous work that may be run again, for example
	// after a crash of its node.
	Repeatable bool `cbor:"11,keyasint,omitempty"`
}

// Dispatch gives the owner the right to send the order to an endpoint.
type Dispatch struct {
	Ref    fleet.KeyRef  `cbor:"1,keyasint"`
	Accept ID            `cbor:"2,keyasint"`
	Term   int           `cbor:"3,keyasint"`
	Owner  fleet.NodeRef `cbor:"4,keyasint"`
}

// Settle records the final outcome of an order.
type Settle struct {
	Ref      fleet.KeyRef     `cbor:"1,keyasint"`
	Accept   ID               `cbor:"2,keyasint"`
	Term     int              `cbor:"3,keyasint"`
	Owner    fleet.NodeRef    `cbor:"4,keyasint"`
	Outcome  fleet.Outcome    `cbor:"5,keyasint"`
	Status   int              `cbor:"6,keyasint"`
	Type     string           `cbor:"7,keyasint"`
	Response []byte           `cbor:"8,keyasint"`
	Detail   string           `cbor:"9,keyasint"`
	Cost     fleet.MicroCents `cbor:"10,keyasint"`
}

// Cancel settles an order as not run if no dispatch precedes it, and repeatable
// work that was dispatched only in an earlier term as failed. It refers to the
// accept, which may not be in the stream yet.
type Cancel struct {
	Ref    fleet.KeyRef `cbor:"1,keyasint"`
	Accept ID           `cbor:"2,keyasint"`
	Detail string       `cbor:"3,keyasint"`
	// Window is how long the cancellation is kept if its accept has not been seen
	// yet.
	Window time.Duration `cbor:"4,keyasint"`
}

// Takeover transfers an order that was not dispatched, or that is repeatable, to a
// new owner. It settles any other dispatched order as unknown.
type Takeover struct {
	Ref    fleet.KeyRef  `cbor:"1,keyasint"`
	Accept ID            `cbor:"2,keyasint"`
	Term   int           `cbor:"3,keyasint"`
	Owner  fleet.NodeRef `cbor:"4,keyasint"`
}

// Charges is a batch of charges from one writer. The batches of a writer are
// numbered from 1 and written one after the other, so that a reader needs only
// the last number to apply each batch once.
type Charges struct {
	Writer   fleet.NodeRef `cbor:"1,keyasint"`
	Sequence uint64        `cbor:"2,keyasint"`
	Items    []Charge      `cbor:"3,keyasint"`
}

// Charge is the charge for one request.
type Charge struct {
	Request   fleet.RequestID   `cbor:"1,keyasint"`
	Account   fleet.AccountName `cbor:"2,keyasint"`
	Pool      fleet.PoolName    `cbor:"3,keyasint"`
	Prompt    fleet.Tokens      `cbor:"4,keyasint,omitempty"`
	Generated fleet.Tokens      `cbor:"5,keyasint,omitempty"`
	// Recomputed tokens are a cost of the system and are not charged to the
	// account.
	Recomputed fleet.Tokens     `cbor:"6,keyasint,omitempty"`
	Cost       fleet.MicroCents `cbor:"7,keyasint,omitempty"`
	// Keyed is set for a request that another node may take over and charge as
	// well; only the first charge in stream order is applied.
	Keyed bool `cbor:"8,keyasint,omitempty"`
}

// UnknownKindError reports a record whose kind or version is not supported.
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
	// The text format keeps times exact. A float is off by less than a
	// microsecond, which is enough for a state loaded from a snapshot to expire a
	// key that a state replayed from the stream still contains.
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

// New encodes a body and returns it in an envelope with a new ID.
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

// Marshal encodes a value in the encoding of the records.
func Marshal(value any) (data []byte, err error) {
	data, err = encoder.Marshal(value)
	return data, errors.Wrap(err, "encode value")
}

// Unmarshal decodes a value in the encoding of the records.
func Unmarshal(data []byte, value any) error {
	return errors.Wrap(decoder.Unmarshal(data, value), "decode value")
}
