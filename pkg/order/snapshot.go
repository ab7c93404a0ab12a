package order

import (
	"cmp"
	"slices"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Save returns the state for a snapshot. Equal states give equal bytes.
func (s *State) Save() ([]byte, error) {
	saved := s.snapshotState
	saved.Sorted = make([]*Order, 0, len(s.Orders))
	for _, o := range s.Orders {
		saved.Sorted = append(saved.Sorted, o)
	}
	slices.SortFunc(saved.Sorted, func(a, b *Order) int {
		return cmp.Or(
			cmp.Compare(a.Request.Ref.Account, b.Request.Ref.Account),
			cmp.Compare(a.Request.Ref.Key, b.Request.Ref.Key),
		)
	})
	return record.Marshal(saved)
}

// Load replaces the state by a saved one.
func (s *State) Load(data []byte) error {
	var loaded snapshotState
	if err := record.Unmarshal(data, &loaded); err != nil {
		return err
	}
	loaded.Orders = make(map[fleet.KeyRef]*Order, len(loaded.Sorted))
	open := make(map[fleet.KeyRef]*Order)
	for _, o := range loaded.Sorted {
		loaded.Orders[o.Request.Ref] = o
		if o.Open() {
			open[o.Request.Ref] = o
		}
	}
	loaded.Sorted = nil
	s.snapshotState, s.open = loaded, open
	return nil
}
