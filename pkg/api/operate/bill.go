package operate

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Bill sets what accounts are charged against what instances cost.
type Bill struct {
	// Since is when the oldest charge was made.
	Since time.Time `json:"since,omitzero"`
	Lines []Line    `json:"lines"`
	Costs []Cost    `json:"costs"`
}

// Line is what one account is charged for one pool.
type Line struct {
	Account   fleet.AccountName `json:"account"`
	Pool      fleet.PoolName    `json:"pool"`
	Requests  int               `json:"requests"`
	Prompt    fleet.Tokens      `json:"prompt"`
	Generated fleet.Tokens      `json:"generated"`
	// Recomputed tokens are not charged.
	Recomputed fleet.Tokens     `json:"recomputed"`
	Charged    fleet.MicroCents `json:"charged"`
}

// Cost is what the instances of one pool and market cost.
type Cost struct {
	Pool      fleet.PoolName `json:"pool"`
	Market    fleet.Market   `json:"market"`
	Instances int            `json:"instances"`
	// Hourly is the price of an hour of all of them.
	Hourly fleet.MicroCents `json:"hourly"`
}
