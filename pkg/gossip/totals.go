package gossip

import (
	"maps"
	"math"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// finiteTotals returns the totals of a digest, with the peer's previous ones in place of
// those that are no finite numbers: a relay would pass these on to all nodes.
func finiteTotals(totals map[fleet.AccountName]float64, p *peer) map[fleet.AccountName]float64 {
	cloned := false
	for account, amount := range totals {
		if !math.IsNaN(amount) && !math.IsInf(amount, 0) {
			continue
		}
		if !cloned {
			totals, cloned = maps.Clone(totals), true
		}
		delete(totals, account)
		if p != nil {
			if previous, ok := p.digest.Consumed[account]; ok {
				totals[account] = previous
			}
		}
	}
	return totals
}
