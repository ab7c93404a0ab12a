// Package member is the state that entry nodes hold of each other and the rules
// by which they merge what they hear: reports of living nodes, which newer ones
// replace, and facts, which are never taken back. Every merge is commutative,
// associative and idempotent, so that news may be lost, repeated or reordered.
// Nothing here decides correctness, which rests on the platform's log alone.
package member

import (
	"github.com/cespare/xxhash/v2"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Life is a compact name of one life of a node: the hash of its name above the
// hash of its incarnation.
type IncarnationID uint64

// lifeNameBits is how many of the low bits of a Life tell the incarnation.
const lifeNameBits = 32

// LifeOf returns the compact name of a node's life.
func IncarnationIDOf(n fleet.NodeRef) IncarnationID {
	return NameHash(n.Name) | IncarnationID(mix(uint64(n.Incarnation))>>lifeNameBits)
}

// NameOf returns the part of a Life that all lives of a node share.
func NameHash(n fleet.NodeName) IncarnationID {
	return IncarnationID(xxhash.Sum64String(string(n))>>lifeNameBits) << lifeNameBits
}

// Name returns the part of the life that all lives of its node share.
func (l IncarnationID) NameHash() IncarnationID { return l >> lifeNameBits << lifeNameBits }

// mix spreads the bits of a number; it is a bijection.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Node is one life of an entry node.
type Node struct {
	Ref        fleet.NodeRef
	DataCentre fleet.DataCentreName
	Address    string
}

// Subject is the hash of what a report is about.
type Subject uint64

// InstanceSubject returns the subject of reports on one life of an instance.
func InstanceSubject(ref fleet.InstanceRef) Subject {
	return Subject(xxhash.Sum64String(string(ref.ID)) ^ mix(uint64(ref.Incarnation)))
}

// AccountSubject returns the subject of reports on a client account.
func AccountSubject(account fleet.AccountName) Subject {
	return Subject(xxhash.Sum64String(string(account)))
}

// DataCentreSubject returns the subject of reports on a data centre.
func DataCentreSubject(name fleet.DataCentreName) Subject {
	return Subject(xxhash.Sum64String(string(name)))
}
