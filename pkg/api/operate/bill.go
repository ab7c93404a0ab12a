package operate

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Bill lists the charges of the accounts and the costs of the instances.
type Bill struct {
	// Since is the start of the day, in UTC, of the oldest charge in the ledger; zero
	// if the ledger has none.
	Since time.Time `json:"since,omitzero"`
	Lines []Line    `json:"lines"`
	Costs []Cost    `json:"costs"`
}

// Line contains the charges of one account for one pool.
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

// Cost is the cost of the instances of one pool and market.
type Cost struct {
	Pool      fleet.PoolName `json:"pool"`
	Market    fleet.Market   `json:"market"`
	Instances int            `json:"instances"`
	// HourlyPrice is the price per hour of all these instances.
	HourlyPrice fleet.MicroCents `json:"hourly"`
}
