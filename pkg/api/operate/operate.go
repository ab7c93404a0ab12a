// Package operate holds the wire types of the operators' interface: JSON over
// HTTP on an address and with a token of its own.
package operate

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/suspect"
)

// The paths of the operators' interface.
const (
	ConfigPath  = "/v1/config"
	HistoryPath = "/v1/config/history"
	ChangePath  = "/v1/config/changes"
	StatusPath  = "/v1/status"
	OrderPath   = "/v1/orders"
	BillPath    = "/v1/bill"
	BurnPath    = "/v1/burn"
	SuspectPath = "/v1/suspects"
)

// Publish asks to put a document in force.
type Publish struct {
	// ID names the change, so that a lost answer can be resolved by it. The node
	// makes one if it is zero.
	ID       record.ID      `json:"id,omitzero"`
	Base     fleet.Revision `json:"base"`
	Document string         `json:"document"`
	Author   string         `json:"author"`
	Message  string         `json:"message"`
}

// Published answers a publish.
type Published struct {
	ID       string         `json:"id"`
	Revision fleet.Revision `json:"revision"`
}

// ChangeState says what is known of a published change.
type ChangeState string

// The states of a change.
const (
	// ChangePending: the log shows nothing of the change yet.
	ChangePending ChangeState = "pending"
	// ChangeInForce: the change was put in force.
	ChangeInForce ChangeState = "in-force"
	// ChangeConflict: another change came first; this one never comes in force.
	ChangeConflict ChangeState = "conflict"
)

// Outcome says what became of a published change.
type Outcome struct {
	ID    record.ID   `json:"id"`
	State ChangeState `json:"state"`
	// Revision is the revision that the change took.
	Revision fleet.Revision `json:"revision,omitempty"`
	// Current is the change in force, after a conflict.
	Current *config.Change `json:"current,omitempty"`
}

// Suspect is a content that crashed endpoints.
type Suspect struct {
	Content string          `json:"content"`
	Pool    fleet.PoolName  `json:"pool"`
	Verdict suspect.Verdict `json:"verdict"`
	// Crashes counts the endpoints that the content crashed.
	Crashes int       `json:"crashes"`
	Expires time.Time `json:"expires"`
}

// Failure answers a call that failed.
type Failure struct {
	Error string `json:"error"`
	// Pending is the ID of a publish that may still come into force.
	Pending string `json:"pending,omitempty"`
	// Current is the change in force, after a conflict.
	Current *config.Change `json:"current,omitempty"`
}

// Status is what one node knows of itself and the fleet.
type Status struct {
	Node       fleet.NodeName                        `json:"node"`
	DataCentre fleet.DataCentreName                  `json:"datacentre"`
	Time       time.Time                             `json:"time"`
	Ready      bool                                  `json:"ready"`
	Revision   fleet.Revision                        `json:"revision"`
	Instances  []fleet.Instance                      `json:"instances"`
	Streams    map[platform.StreamName]journal.Stats `json:"streams"`
	// Nodes are the nodes that this one hears of, itself included.
	Nodes []Node `json:"nodes"`
	// Degraded says what does not work now.
	Degraded []Degraded `json:"degraded"`
}

// Node is one node as another one sees it.
type Node struct {
	Name       fleet.NodeName       `json:"name"`
	DataCentre fleet.DataCentreName `json:"datacentre"`
	Revision   fleet.Revision       `json:"revision"`
	// Heard is when the last heartbeat came.
	Heard time.Time `json:"heard"`
	Alive bool      `json:"alive"`
}

// Degraded is something that does not work, since a time.
type Degraded struct {
	What  string    `json:"what"`
	Since time.Time `json:"since"`
}
