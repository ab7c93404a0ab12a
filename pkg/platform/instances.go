package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// List is the client of the instance list, which lags.
type List struct {
	// ListFunc returns the instances that the platform believes live or leaving.
	ListFunc func(ctx context.Context) ([]fleet.Instance, error)
}

// Instances returns the listed instances.
func (l *List) Instances(ctx context.Context) ([]fleet.Instance, error) {
	if l.ListFunc == nil {
		return nil, &NotSentError{Service: "instance list", Cause: errNoList}
	}
	return l.ListFunc(ctx)
}

var (
	errNoList  = errors.New("no instance list is configured")
	errNoCloud = errors.New("no cloud is configured")
)

// The paths of the instance list, the cloud and the weight store.
const (
	ListPath    = "/v1/instances"
	StartPath   = "/v1/cloud/instances"
	NoticesPath = "/v1/cloud/notices"
)

// DialList returns a client of the instance list at a base URL.
func DialList(base, token string, client *http.Client) *List {
	c := &caller{service: "instance list", base: base, token: token, client: client}
	return &List{ListFunc: func(ctx context.Context) (list []fleet.Instance, err error) {
		err = c.call(ctx, http.MethodGet, ListPath, nil, &list)
		return list, err
	}}
}

// Notice says that the cloud is about to reclaim an instance.
type Notice struct {
	Instance    fleet.InstanceID  `json:"instance"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Leaves      time.Time         `json:"leaves"`
}

// Start asks the cloud for an instance. Tag is unique to the request, so that
// a lost answer can be resolved from the list.
type Start struct {
	Tag    string           `json:"tag"`
	Pool   fleet.PoolName   `json:"pool"`
	Zone   fleet.ZoneName   `json:"zone"`
	Class  fleet.ClassName  `json:"class"`
	Market fleet.Market     `json:"market"`
	Hourly fleet.MicroCents `json:"hourly"`
	Fence  fleet.Fence      `json:"fence"`
}

// Cloud is the client of the cloud API.
type Cloud struct {
	// StartFunc starts an instance; a refusal is a *NotSentError.
	StartFunc func(ctx context.Context, s Start) (fleet.Instance, error)
	// StopFunc ends an instance.
	StopFunc func(ctx context.Context, id fleet.InstanceID) error
	// NoticesFunc returns the reclaim notices in force.
	NoticesFunc func(ctx context.Context) ([]Notice, error)
}

// Start starts an instance.
func (c *Cloud) Start(ctx context.Context, s Start) (fleet.Instance, error) {
	if c.StartFunc == nil {
		return fleet.Instance{}, &NotSentError{Service: "cloud", Cause: errNoCloud}
	}
	return c.StartFunc(ctx, s)
}

// Stop ends an instance. Ending one twice is no error.
func (c *Cloud) Stop(ctx context.Context, id fleet.InstanceID) error {
	if c.StopFunc == nil {
		return &NotSentError{Service: "cloud", Cause: errNoCloud}
	}
	return c.StopFunc(ctx, id)
}

// Notices returns the reclaim notices in force.
func (c *Cloud) Notices(ctx context.Context) ([]Notice, error) {
	if c.NoticesFunc == nil {
		return nil, &NotSentError{Service: "cloud", Cause: errNoCloud}
	}
	return c.NoticesFunc(ctx)
}

// DialCloud returns a client of the cloud API at a base URL.
func DialCloud(base, token string, client *http.Client) *Cloud {
	c := &caller{service: "cloud", base: base, token: token, client: client}
	return &Cloud{
		StartFunc: func(ctx context.Context, s Start) (i fleet.Instance, err error) {
			body, err := json.Marshal(s)
			if err != nil {
				return i, &NotSentError{Service: "cloud", Cause: err}
			}
			err = c.call(ctx, http.MethodPost, StartPath, body, &i)
			return i, err
		},
		StopFunc: func(ctx context.Context, id fleet.InstanceID) error {
			return c.call(ctx, http.MethodDelete, StartPath+"/"+url.PathEscape(string(id)), nil, &struct{}{})
		},
		NoticesFunc: func(ctx context.Context) (notices []Notice, err error) {
			err = c.call(ctx, http.MethodGet, NoticesPath, nil, &notices)
			return notices, err
		},
	}
}
