package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Choose returns up to count nodes for a key by rendezvous hashing, in order of
// preference. Callers with the same list of nodes get the same result. If a
// node is removed, only the keys assigned to it move.
func Choose(nodes []fleet.NodeName, key string, count int) (chosen []fleet.NodeName) {
	names := make([]string, len(nodes))
	for i, n := range nodes {
		names[i] = string(n)
	}
	slices.Sort(names)
	for len(names) > 0 && len(chosen) < count {
		name := rendezvous.New(names, xxhash.Sum64String).Lookup(key)
		chosen = append(chosen, fleet.NodeName(name))
		names = slices.DeleteFunc(names, func(n string) bool { return n == name })
	}
	return chosen
}
