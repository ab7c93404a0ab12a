package fleet_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/strict"
)

// FuzzDocument checks that a rejected fleet configuration lists its problems, and
// that an accepted one has a deadline for every account and pool.
func FuzzDocument(f *testing.F) {
	hash := string(fleet.HashKey("one"))
	for _, seed := range []string{
		"pools: [{name: plume, kind: model}]\naccounts: [{name: dentists, keys: ['" + hash + "'], pools: [plume]}]\n",
		"pools: [{name: plume, kind: model}]\nexceptions: [{pool: plume, reason: because of it, value: {}}]\n",
		"", "pools: [", "pools: [{name: a, kind: x}]", "defaults: {deadline: -1s}", "a: &a [*a]", "pools: 3",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := fleet.ParseDocument("fleet.yaml", data)
		var known *strict.Error
		if err != nil {
			if !errors.As(err, &known) || len(known.Problems) == 0 {
				t.Fatalf("error is %T, want a *strict.Error with problems", err)
			}
			return
		}
		for _, a := range d.Accounts {
			for _, p := range d.Pools {
				if policy := d.Policy(a.Name, p.Name, time.Unix(0, 0)); policy.Deadline.Value <= 0 {
					t.Fatalf("account %s on pool %s has no deadline", a.Name, p.Name)
				}
			}
		}
	})
}
