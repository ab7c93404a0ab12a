// Package member holds the state that entry nodes have of each other and merges
// the state they receive: reports of live nodes, which newer reports replace,
// and facts, which are never retracted. Every merge is commutative, associative
// and idempotent, so messages may be lost, repeated or reordered. Correctness
// does not depend on this state, only on the platform's log.
package member

import (
	"github.com/cespare/xxhash/v2"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// IncarnationID identifies one incarnation of a node. The high bits are the hash
// of the node's name, the low bits the hash of the incarnation.
type IncarnationID uint64

// incarnationBits is the number of low bits of an IncarnationID that hold the
// hash of the incarnation.
const incarnationBits = 32

// IncarnationIDOf returns the ID of a node's incarnation.
func IncarnationIDOf(n fleet.NodeRef) IncarnationID {
	return NameHash(n.Name) | IncarnationID(mixBits(uint64(n.Incarnation))>>incarnationBits)
}

// NameHash returns the high bits of an IncarnationID, which all incarnations of
// a node share. The low bits are zero.
func NameHash(n fleet.NodeName) IncarnationID {
	return IncarnationID(xxhash.Sum64String(string(n))>>incarnationBits) << incarnationBits
}

// NameHash returns the high bits of the ID, which all incarnations of a node
// share.
func (id IncarnationID) NameHash() IncarnationID { return id >> incarnationBits << incarnationBits }

// mixBits mixes the bits of a number. It is a bijection.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Node is one incarnation of an entry node.
type Node struct {
	Ref        fleet.NodeRef
	DataCentre fleet.DataCentreName
	Address    string
}

// Subject is a hash that identifies what a report is about: an incarnation of an
// instance, a client account or a data centre.
type Subject uint64

// InstanceSubject returns the subject of reports on one incarnation of an
// instance.
func InstanceSubject(ref fleet.InstanceRef) Subject {
	return Subject(xxhash.Sum64String(string(ref.ID)) ^ mixBits(uint64(ref.Incarnation)))
}

// AccountSubject returns the subject of reports on a client account.
func AccountSubject(account fleet.AccountName) Subject {
	return Subject(xxhash.Sum64String(string(account)))
}

// DataCentreSubject returns the subject of reports on a data centre.
func DataCentreSubject(name fleet.DataCentreName) Subject {
	return Subject(xxhash.Sum64String(string(name)))
}
