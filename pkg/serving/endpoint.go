package serving

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// EndpointState is the state that an endpoint reports.
type EndpointState string

// The states of an endpoint.
const (
	StateReady    EndpointState = "ready"
	StateDraining EndpointState = "draining"
)

// Version names a version of an endpoint's software.
type Version string

// Endpoint is one incarnation of an endpoint, as it registered itself.
type Endpoint struct {
	ID         fleet.InstanceID
	Pool       fleet.PoolName
	Address    string
	DataCentre fleet.DataCentreName
	State      EndpointState
	Slots      int
	// Cold is the remaining time for which the endpoint is slow after its start.
	Cold time.Duration
	// Market is the market that the instance comes from, which determines whether
	// it may be reclaimed.
	Market fleet.Market
	// Leaves is the time until a reclaimed instance is terminated, if it announced
	// this; otherwise 0.
	Leaves time.Duration
	// Born is the start time of this incarnation in Unix milliseconds; 0 if unknown.
	Born int64
	// Version is the version of the endpoint's software; empty if unknown.
	Version Version
}
