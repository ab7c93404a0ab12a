// Package pace models how fast each endpoint of a pool is, relative to the pool's usual
// speed. Each node times the streams and responses that pass through it, and the nodes
// add up their evidence in digests, because one node sees an endpoint only once in some
// seconds. The estimates are pure functions of that evidence; the package performs no I/O.
package pace

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Key identifies what a sum is about: one incarnation of an endpoint or a quantity of a
// pool. It is a hash, which keeps reports small. Another birth has another key, so that
// evidence about an earlier incarnation doesn't count.
type Key uint32

// EndpointKey returns the key of an incarnation of an endpoint.
func EndpointKey(id fleet.InstanceID, born int64) Key {
	return hashKey(string(id), "endpoint", uint64(born))
}

func hashKey(name, quantity string, n uint64) Key {
	var d xxhash.Digest
	d.Reset()
	// Writes to the hash never fail.
	_, _ = d.WriteString(name)
	_, _ = d.WriteString("\x00" + quantity)
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, n))
	return Key(d.Sum64())
}

// Sum is the evidence for one quantity: the weighted sum of the logarithms of samples.
// Sums of different nodes add up in any order.
type Sum struct{ Weight, Log float64 }

// Mean returns the mean of the logarithms.
func (s Sum) Mean() float64 { return s.Log / s.Weight }

// Evidence holds sums by their key.
type Evidence map[Key]Sum

// Add adds the sums of another report.
func (r Evidence) Add(other Evidence) {
	for k, s := range other {
		total := r[k]
		r[k] = Sum{total.Weight + s.Weight, total.Log + s.Log}
	}
}

const (
	// maxEntries bounds an encoded report, which shares a datagram with the other state.
	maxEntries = 800
	// entryBytes is the size of an encoded sum: a key, a mean and a weight.
	entryBytes = 4 + 2 + 1
	// meanScale and meanOffset map the means from -8 to 12 to 16 bits. weightScale and
	// weightUnit map the weights up to about 7,800 to 8 bits, by their logarithm.
	meanScale, meanOffset = 65535 / 20.0, 8.0
	weightScale           = 16.0
	weightUnit            = 8.0
)

func encodeWeight(w float64) byte {
	return byte(min(math.MaxUint8, math.Round(weightScale*math.Log2(1+weightUnit*max(0, w)))))
}

func decodeWeight(b byte) float64 { return (math.Exp2(float64(b)/weightScale) - 1) / weightUnit }

// Remove removes the sums of a report that was added.
func (r Evidence) Remove(other Evidence) {
	for k, s := range other {
		total, ok := r[k]
		if !ok {
			continue
		}
		rest := Sum{total.Weight - s.Weight, total.Log - s.Log}
		// What rounding leaves is no evidence.
		if encodeWeight(rest.Weight) == 0 {
			delete(r, k)
			continue
		}
		r[k] = rest
	}
}

// weightBound returns the least encoded weight of the maxEntries largest ones, and how many
// of that weight are among them.
func weightBound(weights []byte) (bound byte, room int) {
	var counts [math.MaxUint8 + 1]int
	for _, w := range weights {
		counts[w]++
	}
	room = maxEntries
	for bound = math.MaxUint8; bound > 0 && counts[bound] < room; bound-- {
		room -= counts[bound]
	}
	return bound, room
}

// MarshalBinary encodes the sums with the largest weights, in the order of their keys.
func (r Evidence) MarshalBinary() ([]byte, error) {
	keys := slices.Sorted(maps.Keys(r))
	weights := make([]byte, len(keys))
	for i, k := range keys {
		weights[i] = encodeWeight(r[k].Weight)
	}
	bound, room := weightBound(weights)
	data := make([]byte, 0, entryBytes*min(len(keys), maxEntries))
	for i, k := range keys {
		weight := weights[i]
		mean := math.Round((r[k].Mean() + meanOffset) * meanScale)
		if weight < bound || weight == 0 || math.IsNaN(mean) {
			continue
		}
		if weight == bound {
			if room == 0 {
				continue
			}
			room--
		}
		data = binary.LittleEndian.AppendUint32(data, uint32(k))
		data = binary.LittleEndian.AppendUint16(data, uint16(min(max(mean, 0), math.MaxUint16)))
		data = append(data, weight)
	}
	return data, nil
}

// UnmarshalBinary decodes a report.
func (r *Evidence) UnmarshalBinary(data []byte) error {
	if len(data)%entryBytes != 0 || len(data) > entryBytes*maxEntries {
		return errors.Newf("a report of speeds has %d bytes", len(data))
	}
	*r = make(Evidence, len(data)/entryBytes)
	for ; len(data) > 0; data = data[entryBytes:] {
		weight := decodeWeight(data[6])
		mean := float64(binary.LittleEndian.Uint16(data[4:]))/meanScale - meanOffset
		(*r)[Key(binary.LittleEndian.Uint32(data))] = Sum{weight, weight * mean}
	}
	return nil
}
