package gossip

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/allotment"
	"github.com/skylarkloom/skylarkloom/pkg/canary"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/pace"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
	"github.com/skylarkloom/skylarkloom/pkg/provision"
	"github.com/skylarkloom/skylarkloom/pkg/quarantine"
	"github.com/skylarkloom/skylarkloom/pkg/usage"
)

// Scope identifies the nodes that a digest describes, or the purpose of a request.
type Scope string

// The scopes.
const (
	// ScopeNode covers the sender only.
	ScopeNode Scope = "node"
	// ScopeRelayGroup covers the sender and the nodes that it relays for.
	ScopeRelayGroup Scope = "branch"
	// ScopeFleet covers all nodes known to the sender, except the recipient.
	ScopeFleet Scope = "fleet"
	// ScopeUsage carries the sender's usage counts to the holder of the duties.
	ScopeUsage Scope = "usage"
	// ScopeProbe checks whether a node that did not reply is reachable again.
	ScopeProbe Scope = "probe"
)

// Digest is the state that a node reports of itself, or aggregated over itself
// and other nodes.
type Digest struct {
	Node       fleet.NodeRef        `cbor:"1,keyasint"`
	DataCentre fleet.DataCentreName `cbor:"2,keyasint"`
	Address    string               `cbor:"3,keyasint"`
	// ConfigVersion is the configuration in force, ConfigAge the time since it was
	// last confirmed as the newest.
	ConfigVersion int64         `cbor:"4,keyasint"`
	ConfigAge     time.Duration `cbor:"5,keyasint"`
	// Work is the load that the covered nodes put on endpoints.
	Work map[fleet.InstanceID]placement.Work `cbor:"6,keyasint,omitempty"`
	// Consumed is the quota that the covered nodes consumed since the sender
	// started, by account.
	Consumed map[fleet.AccountName]float64 `cbor:"7,keyasint,omitempty"`
	// Usage holds the sender's counts of the last windows.
	Usage usage.Counts `cbor:"8,keyasint,omitempty"`
	// Clock is the sender's time of day, which does not jump while the sender runs.
	// In an aggregate it is corrected by the clocks of the covered nodes.
	Clock time.Time `cbor:"10,keyasint"`
	// DutyHolder is the node that holds the duties and DutyHolderAddress its
	// address; empty if it is not known.
	DutyHolder        fleet.NodeName `cbor:"11,keyasint,omitempty"`
	DutyHolderAddress string         `cbor:"16,keyasint,omitempty"`
	// Draining is set when the node shuts down.
	Draining bool `cbor:"12,keyasint,omitempty"`
	// Demand is the number of engines that the requests of the covered nodes keep
	// busy, by pool.
	Demand map[fleet.PoolName]float64 `cbor:"13,keyasint,omitempty"`
	// DirectoryOffset is the offset up to which the sender read the endpoint
	// directory, and DirectoryAge the time since it requested that read.
	DirectoryOffset fleet.Offset  `cbor:"14,keyasint,omitempty"`
	DirectoryAge    time.Duration `cbor:"15,keyasint,omitempty"`
	// OtherNodes is the number of live nodes that the digest covers besides the
	// sender, and SilentNodes the number of further nodes that are silent.
	OtherNodes  int `cbor:"17,keyasint,omitempty"`
	SilentNodes int `cbor:"18,keyasint,omitempty"`
	// ReachableDataCentres are the data centres from which a digest arrived recently.
	ReachableDataCentres []fleet.DataCentreName `cbor:"19,keyasint,omitempty"`
	// Quarantine is what the sender knows of requests that crash endpoints. Earlier
	// versions sent less under the number 9.
	Quarantine quarantine.Report `cbor:"20,keyasint"`
	// Leaving holds the incarnations of endpoints that are known to leave only from their
	// responses, by the time of their start.
	Leaving map[fleet.InstanceID]int64 `cbor:"21,keyasint,omitempty"`
	// Speeds are the known speeds of engines, by pool, for nodes that have not measured any.
	Speeds map[fleet.PoolName]provision.Speeds `cbor:"22,keyasint,omitempty"`
	// Pace is the evidence of the covered nodes for the speeds of endpoints.
	Pace pace.Evidence `cbor:"25,keyasint,omitempty"`
	// Shortage is what the covered nodes report of requests that wait, refusals and
	// promised returns; nil while there is room for all.
	Shortage *Shortage `cbor:"24,keyasint,omitempty"`
	// Rollouts are the known orders of roll-outs, with the counts of the covered nodes.
	Rollouts []canary.Report `cbor:"23,keyasint,omitempty"`
	// Quotas is the state of the sender's quotas.
	Quotas allotment.Report `cbor:"27,keyasint"`
}

// nodes returns the number of live nodes that the digest covers.
func (d *Digest) nodes() int { return 1 + d.OtherNodes }
