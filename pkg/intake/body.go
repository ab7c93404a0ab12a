package intake

import (
	"context"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// firstBodyBytes is the first amount of memory for a body of unknown length, which grows by
// the factor bodyGrowth.
const (
	firstBodyBytes Bytes = 4 << 10
	bodyGrowth           = 4
)

// ErrTooLong reports a body that exceeds its limit.
var ErrTooLong = errors.New("body exceeds the limit")

// BodyReader reads a body into memory that is charged before it is used.
type BodyReader struct {
	// Sender is the account of the body. Nil has no limits.
	Sender *Sender
	Source io.Reader
	// Length is the length that the head announces, -1 if there is none.
	Length int64
	// Limit is the length of the longest body.
	Limit Bytes
}

// ReadAll reads the body to its end. The error is ErrTooLong if it exceeds the limit, and
// ErrNoRoom if there is no room for it or it gave way to others.
func (r *BodyReader) ReadAll(ctx context.Context) (body []byte, err error) {
	defer func() {
		if err != nil && r.Sender.Stopped() {
			err = errors.CombineErrors(ErrNoRoom, err)
		}
	}()
	switch length := Bytes(r.Length); {
	case length == 0:
		return nil, nil
	case length > r.Limit:
		return nil, ErrTooLong
	case length < 0:
		return r.readUnknown(ctx)
	default:
		if err = r.Sender.Reserve(ctx, length); err != nil {
			return nil, err
		}
		body = make([]byte, length)
		_, err = io.ReadFull(r.Source, body)
		return body, err
	}
}

// readUnknown reads a body of unknown length. Once it counts as large, it waits for the room
// that the longest body takes. So does a body whose chunks are so short that their framing
// is large.
func (r *BodyReader) readUnknown(ctx context.Context) (body []byte, err error) {
	for large := false; ; {
		if len(body) == cap(body) {
			size := r.nextSize(Bytes(cap(body)))
			if err = r.reserve(ctx, size, &large); err != nil {
				return nil, err
			}
			body = slices.Grow(body, int(size)-len(body))
		}
		n, err := r.Source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case Bytes(len(body)) > r.Limit:
			return nil, ErrTooLong
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return r.trim(body), nil
		case err != nil:
			return nil, err
		}
		if r.Sender.BodyArrived() > SmallBody {
			if err = r.reserve(ctx, r.Limit, &large); err != nil {
				return nil, err
			}
		}
	}
}

// nextSize returns the size to which a buffer grows. The last step copies a quarter of the
// limit at most.
func (r *BodyReader) nextSize(size Bytes) Bytes {
	next := max(firstBodyBytes, bodyGrowth*size)
	switch {
	case size < SmallBody:
		next = min(next, SmallBody)
	case bodyGrowth*next > r.Limit:
		next = r.Limit + 1
	}
	return min(next, r.Limit+1)
}

// trim copies a body whose buffer is much longer. The copy fits into the reserve.
func (r *BodyReader) trim(body []byte) []byte {
	if Bytes(cap(body)) > SmallBody && len(body) > cap(body)/bodyGrowth {
		return body
	}
	return slices.Clip(slices.Clone(body))
}

// reserve reserves memory for a body of unknown length. large reports whether the body has
// the memory for the longest body.
func (r *BodyReader) reserve(ctx context.Context, size Bytes, large *bool) error {
	if *large {
		return nil
	}
	if size > SmallBody {
		// A copy is made as it grows.
		*large, size = true, r.Limit+r.Limit/bodyGrowth
	}
	return r.Sender.Reserve(ctx, size)
}
