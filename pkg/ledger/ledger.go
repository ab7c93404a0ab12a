// Package ledger adds up the charge stream into the totals of a bill, and appends
// the charges of a node to the stream.
//
// A writer numbers its batches and appends one at a time. A batch that is appended
// twice because the response to the first append was lost has the same number
// and is counted once. The state therefore keeps one number per writer instead of
// every request's ID. Only keyed requests, which two nodes may finish, are stored by
// ID, for keyedRetention.
package ledger

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

const (
	// keyedRetention is how long the IDs of keyed requests are kept, in log time.
	keyedRetention = 48 * time.Hour
	// writerRetention is how long the last batch number of a writer without new
	// batches is kept, in log time.
	writerRetention = 30 * 24 * time.Hour
	// retentionDays is the age in days after which totals are removed.
	retentionDays = 62
	// expiryInterval is the minimum log time between removals of expired state.
	expiryInterval = time.Hour
)

// Day is a day of log time in UTC, in the format 2006-01-02.
type Day string

// Line identifies a line of the bill.
type Line struct {
	Day     Day
	Account fleet.AccountName
	Pool    fleet.PoolName
}

// Total is the usage and the cost of one line.
type Total struct {
	Requests   int              `cbor:"1,keyasint" json:"requests"`
	Prompt     fleet.Tokens     `cbor:"2,keyasint" json:"prompt"`
	Generated  fleet.Tokens     `cbor:"3,keyasint" json:"generated"`
	Recomputed fleet.Tokens     `cbor:"4,keyasint" json:"recomputed"`
	Cost       fleet.MicroCents `cbor:"5,keyasint" json:"cost"`
}

// Add adds another total to t.
func (t *Total) Add(other Total) {
	t.Requests += other.Requests
	t.Prompt += other.Prompt
	t.Generated += other.Generated
	t.Recomputed += other.Recomputed
	t.Cost += other.Cost
}

// State is the state that the records of the charge stream build up. The zero value
// is the state before the first record. It is not safe for concurrent use.
type State struct{ state }

type poolTotals map[fleet.PoolName]Total

type state struct {
	Days    map[Day]map[fleet.AccountName]poolTotals `cbor:"1,keyasint"`
	Writers map[fleet.NodeName]lastBatches           `cbor:"2,keyasint"`
	// Keyed holds, for each keyed request that was charged, the log time of its
	// charge. It prevents a second charge.
	Keyed      map[fleet.RequestID]time.Time `cbor:"3,keyasint"`
	Now        time.Time                     `cbor:"4,keyasint"`
	LastExpiry time.Time                     `cbor:"5,keyasint"`
}

// lastBatches holds the last batch of each incarnation of a node.
type lastBatches map[fleet.Incarnation]batch

type batch struct {
	Sequence uint64    `cbor:"1,keyasint"`
	Time     time.Time `cbor:"2,keyasint"`
}

// Apply applies one record. It ignores a batch that was applied before.
func (s *State) Apply(pos record.Position, e record.Envelope) error {
	if e.Kind != record.KindCharge {
		return &record.UnknownKindError{Kind: e.Kind, Version: e.Version}
	}
	r, err := record.Decode[record.Charges](e)
	if err != nil {
		return err
	}
	s.advance(pos.Time)
	batches := s.Writers[r.Writer.Name]
	if batches == nil {
		batches = make(lastBatches)
		s.Writers[r.Writer.Name] = batches
	}
	if r.Sequence <= batches[r.Writer.Incarnation].Sequence {
		return nil
	}
	batches[r.Writer.Incarnation] = batch{Sequence: r.Sequence, Time: pos.Time}
	for _, c := range r.Items {
		s.charge(pos.Time, c)
	}
	return nil
}

func (s *State) charge(now time.Time, c record.Charge) {
	if _, charged := s.Keyed[c.Request]; charged {
		return
	}
	if c.Keyed {
		s.Keyed[c.Request] = now
	}
	day := Day(now.UTC().Format(time.DateOnly))
	if s.Days[day] == nil {
		s.Days[day] = make(map[fleet.AccountName]poolTotals)
	}
	if s.Days[day][c.Account] == nil {
		s.Days[day][c.Account] = make(poolTotals)
	}
	t := s.Days[day][c.Account][c.Pool]
	t.Add(Total{Requests: 1, Prompt: c.Prompt, Generated: c.Generated, Recomputed: c.Recomputed, Cost: c.Cost})
	s.Days[day][c.Account][c.Pool] = t
}

// Each calls visit for every line of the bill, in no particular order.
func (s *State) Each(visit func(l Line, t Total)) {
	for day, accounts := range s.Days {
		for account, totals := range accounts {
			for pool, t := range totals {
				visit(Line{Day: day, Account: account, Pool: pool}, t)
			}
		}
	}
}

// advance advances the log time and removes expired state, at most once per
// expiryInterval.
func (s *State) advance(now time.Time) {
	if s.Days == nil {
		s.Days = make(map[Day]map[fleet.AccountName]poolTotals)
		s.Writers = make(map[fleet.NodeName]lastBatches)
		s.Keyed = make(map[fleet.RequestID]time.Time)
	}
	if now.After(s.Now) {
		s.Now = now
	}
	if s.Now.Sub(s.LastExpiry) < expiryInterval {
		return
	}
	s.LastExpiry = s.Now
	s.removeExpired()
}

func (s *State) removeExpired() {
	oldest := Day(s.Now.AddDate(0, 0, -retentionDays).UTC().Format(time.DateOnly))
	for day := range s.Days {
		if day < oldest {
			delete(s.Days, day)
		}
	}
	for id, chargedAt := range s.Keyed {
		if s.Now.Sub(chargedAt) > keyedRetention {
			delete(s.Keyed, id)
		}
	}
	for name, batches := range s.Writers {
		for incarnation, last := range batches {
			if s.Now.Sub(last.Time) > writerRetention {
				delete(batches, incarnation)
			}
		}
		if len(batches) == 0 {
			delete(s.Writers, name)
		}
	}
}

// Save returns the encoded state for a snapshot. The encoding is deterministic.
func (s *State) Save() ([]byte, error) { return record.Marshal(s.state) }

// Load replaces the state with a saved one.
func (s *State) Load(data []byte) error {
	var loaded state
	if err := record.Unmarshal(data, &loaded); err != nil {
		return err
	}
	s.state = loaded
	return nil
}
