// Package operate defines the wire types of the operators' interface: JSON over
// HTTP, on a separate address and with a separate token.
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

// HTTP paths of the operators' interface.
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

// Publish is a request to put a document in force as the configuration.
type Publish struct {
	// ID identifies the change, so that its outcome can be queried if the response
	// is lost. The node generates an ID if it is zero.
	ID record.ID `json:"id,omitzero"`
	// Base is the revision that the document was written for. If another one is in
	// force, the request fails with a conflict.
	Base     fleet.Revision `json:"base"`
	Document string         `json:"document"`
	Author   string         `json:"author"`
	Message  string         `json:"message"`
}

// Published is the response to a Publish request.
type Published struct {
	ID       string         `json:"id"`
	Revision fleet.Revision `json:"revision"`
}

// ChangeState is the state of a published change.
type ChangeState string

// The states of a change.
const (
	// ChangePending means that the change has not been read from the log yet.
	ChangePending ChangeState = "pending"
	// ChangeInForce means that the change was put in force.
	ChangeInForce ChangeState = "in-force"
	// ChangeConflict means that another change was put in force first; this one never
	// is.
	ChangeConflict ChangeState = "conflict"
)

// Outcome is the outcome of a published change.
type Outcome struct {
	ID    record.ID   `json:"id"`
	State ChangeState `json:"state"`
	// Revision is the revision that was assigned to the change.
	Revision fleet.Revision `json:"revision,omitempty"`
	// Current is the change in force, set after a conflict.
	Current *config.Change `json:"current,omitempty"`
}

// Suspect is a content that crashed endpoints.
type Suspect struct {
	Content string          `json:"content"`
	Pool    fleet.PoolName  `json:"pool"`
	Verdict suspect.Verdict `json:"verdict"`
	// Crashes is the number of endpoints that the content crashed.
	Crashes int       `json:"crashes"`
	Expires time.Time `json:"expires"`
}

// Failure is the response to a failed request.
type Failure struct {
	Error string `json:"error"`
	// Pending is the ID of a change that may still be put in force.
	Pending string `json:"pending,omitempty"`
	// Current is the change in force, set after a conflict.
	Current *config.Change `json:"current,omitempty"`
}

// Status describes one node, and the fleet as this node knows it.
type Status struct {
	Node       fleet.NodeName                        `json:"node"`
	DataCentre fleet.DataCentreName                  `json:"datacentre"`
	Time       time.Time                             `json:"time"`
	Ready      bool                                  `json:"ready"`
	Revision   fleet.Revision                        `json:"revision"`
	Instances  []fleet.Instance                      `json:"instances"`
	Streams    map[platform.StreamName]journal.Stats `json:"streams"`
	// Nodes are the nodes that this node knows of, including itself.
	Nodes []Node `json:"nodes"`
	// Degraded lists the current problems of this node, oldest first.
	Degraded []Degraded `json:"degraded"`
}

// Node is the state of a node as another node sees it.
type Node struct {
	Name       fleet.NodeName       `json:"name"`
	DataCentre fleet.DataCentreName `json:"datacentre"`
	Revision   fleet.Revision       `json:"revision"`
	// Heard is the time at which the last heartbeat was received.
	Heard time.Time `json:"heard"`
	Alive bool      `json:"alive"`
}

// Degraded is a current problem of a node.
type Degraded struct {
	// Problem describes the problem, such as "stream config: the log takes no appends".
	Problem string    `json:"what"`
	Since   time.Time `json:"since"`
}
