package order

import (
	"cmp"
	"slices"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Save returns the state for a snapshot. The same state gives the same bytes.
func (f *State) Save() ([]byte, error) {
	s := f.state
	s.List = make([]*Order, 0, len(f.Orders))
	for _, o := range f.Orders {
		s.List = append(s.List, o)
	}
	slices.SortFunc(s.List, func(a, b *Order) int {
		return cmp.Or(
			cmp.Compare(a.Request.Ref.Account, b.Request.Ref.Account),
			cmp.Compare(a.Request.Ref.Key, b.Request.Ref.Key),
		)
	})
	return record.Marshal(s)
}

// Load replaces the state by a saved one.
func (f *State) Load(data []byte) error {
	var s state
	if err := record.Unmarshal(data, &s); err != nil {
		return err
	}
	s.Orders = make(map[fleet.KeyRef]*Order, len(s.List))
	open := make(map[fleet.KeyRef]*Order)
	for _, o := range s.List {
		s.Orders[o.Request.Ref] = o
		if o.Open() {
			open[o.Request.Ref] = o
		}
	}
	s.List = nil
	f.state, f.open = s, open
	return nil
}
