// Package ledger folds the stream of charges into the totals of a bill, and
// writes the charges of a node.
//
// A writer numbers its batches and writes one at a time, so a batch that is
// appended twice after a lost answer is known by its number and counted once.
// The fold keeps a number for each writer in place of every request's ID. Only
// requests that two nodes may finish are remembered one by one, for the key
// window.
package ledger

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

const (
	// keyedWindow is how long keyed requests are remembered, in log time.
	keyedWindow = 48 * time.Hour
	// writerWindow is how long the last number of a silent writer is kept.
	writerWindow = 30 * 24 * time.Hour
	// keptDays is how many days the totals reach back.
	keptDays = 62
	// sweepEvery is how much log time passes between removals.
	sweepEvery = time.Hour
)

// Day is a day of log time in UTC, as 2006-01-02.
type Day string

// Line names a line of the bill.
type Line struct {
	Day     Day
	Account fleet.AccountName
	Pool    fleet.PoolName
}

// Total is what was served on one line.
type Total struct {
	Requests   int              `cbor:"1,keyasint" json:"requests"`
	Prompt     fleet.Tokens     `cbor:"2,keyasint" json:"prompt"`
	Generated  fleet.Tokens     `cbor:"3,keyasint" json:"generated"`
	Recomputed fleet.Tokens     `cbor:"4,keyasint" json:"recomputed"`
	Cost       fleet.MicroCents `cbor:"5,keyasint" json:"cost"`
}

// Add adds another total.
func (t *Total) Add(o Total) {
	t.Requests += o.Requests
	t.Prompt += o.Prompt
	t.Generated += o.Generated
	t.Recomputed += o.Recomputed
	t.Cost += o.Cost
}

// Fold is the state of the charge stream. The zero value is the state before
// the first record. It is not safe for concurrent use.
type State struct{ state }

type pools map[fleet.PoolName]Total

type state struct {
	Days    map[Day]map[fleet.AccountName]pools `cbor:"1,keyasint"`
	Writers map[fleet.NodeName]writers          `cbor:"2,keyasint"`
	// Keyed holds when each keyed request was charged.
	Keyed map[fleet.RequestID]time.Time `cbor:"3,keyasint"`
	Now   time.Time                     `cbor:"4,keyasint"`
	Sweep time.Time                     `cbor:"5,keyasint"`
}

// writers holds the last batch of each life of a node.
type writers map[fleet.Incarnation]batch

type batch struct {
	Sequence uint64    `cbor:"1,keyasint"`
	Time     time.Time `cbor:"2,keyasint"`
}

// Apply folds one record.
func (f *State) Apply(pos record.Position, e record.Envelope) error {
	if e.Kind != record.KindCharge {
		return &record.UnknownKindError{Kind: e.Kind, Version: e.Version}
	}
	r, err := record.Decode[record.Charges](e)
	if err != nil {
		return err
	}
	f.tick(pos.Time)
	lives := f.Writers[r.Writer.Name]
	if lives == nil {
		lives = make(writers)
		f.Writers[r.Writer.Name] = lives
	}
	if r.Sequence <= lives[r.Writer.Incarnation].Sequence {
		return nil
	}
	lives[r.Writer.Incarnation] = batch{Sequence: r.Sequence, Time: pos.Time}
	for _, c := range r.Items {
		f.charge(pos.Time, c)
	}
	return nil
}

func (f *State) charge(now time.Time, c record.Charge) {
	if _, charged := f.Keyed[c.Request]; charged {
		return
	}
	if c.Keyed {
		f.Keyed[c.Request] = now
	}
	day := Day(now.UTC().Format(time.DateOnly))
	if f.Days[day] == nil {
		f.Days[day] = make(map[fleet.AccountName]pools)
	}
	if f.Days[day][c.Account] == nil {
		f.Days[day][c.Account] = make(pools)
	}
	t := f.Days[day][c.Account][c.Pool]
	t.Add(Total{Requests: 1, Prompt: c.Prompt, Generated: c.Generated, Recomputed: c.Recomputed, Cost: c.Cost})
	f.Days[day][c.Account][c.Pool] = t
}

// Each calls visit for every line.
func (f *State) Each(visit func(l Line, t Total)) {
	for day, accounts := range f.Days {
		for account, pools := range accounts {
			for pool, t := range pools {
				visit(Line{Day: day, Account: account, Pool: pool}, t)
			}
		}
	}
}

// tick advances the log time and removes what is too old.
func (f *State) tick(now time.Time) {
	if f.Days == nil {
		f.Days = make(map[Day]map[fleet.AccountName]pools)
		f.Writers = make(map[fleet.NodeName]writers)
		f.Keyed = make(map[fleet.RequestID]time.Time)
	}
	if now.After(f.Now) {
		f.Now = now
	}
	if f.Now.Sub(f.Sweep) < sweepEvery {
		return
	}
	f.Sweep = f.Now
	f.sweep()
}

func (f *State) sweep() {
	oldest := Day(f.Now.AddDate(0, 0, -keptDays).UTC().Format(time.DateOnly))
	for day := range f.Days {
		if day < oldest {
			delete(f.Days, day)
		}
	}
	for id, at := range f.Keyed {
		if f.Now.Sub(at) > keyedWindow {
			delete(f.Keyed, id)
		}
	}
	for name, lives := range f.Writers {
		for life, last := range lives {
			if f.Now.Sub(last.Time) > writerWindow {
				delete(lives, life)
			}
		}
		if len(lives) == 0 {
			delete(f.Writers, name)
		}
	}
}

// Save returns the state for a snapshot. The same state gives the same bytes.
func (f *State) Save() ([]byte, error) { return record.Marshal(f.state) }

// Load replaces the state by a saved one.
func (f *State) Load(data []byte) error {
	var s state
	if err := record.Unmarshal(data, &s); err != nil {
		return err
	}
	f.state = s
	return nil
}
