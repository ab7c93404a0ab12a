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

// InstanceList is a client of the instance list, which may be stale.
type InstanceList struct {
	// ListFunc returns the instances that the platform reports as live or leaving.
	ListFunc func(ctx context.Context) ([]fleet.Instance, error)
}

// Instances returns the listed instances.
func (l *InstanceList) Instances(ctx context.Context) ([]fleet.Instance, error) {
	if l.ListFunc == nil {
		return nil, &NotExecutedError{Service: "instance list", Cause: errNoInstanceList}
	}
	return l.ListFunc(ctx)
}

var (
	errNoInstanceList = errors.New("no instance list is configured")
	errNoCloud        = errors.New("no cloud is configured")
)

// The paths of the instance list and the cloud API.
const (
	InstancesPath      = "/v1/instances"
	CloudInstancesPath = "/v1/cloud/instances"
	NoticesPath        = "/v1/cloud/notices"
)

// DialInstanceList returns a client of the instance list at a base URL.
func DialInstanceList(baseURL, token string, client *http.Client) *InstanceList {
	c := &jsonClient{service: "instance list", baseURL: baseURL, token: token, client: client}
	return &InstanceList{ListFunc: func(ctx context.Context) (list []fleet.Instance, err error) {
		err = c.call(ctx, http.MethodGet, InstancesPath, nil, &list)
		return list, err
	}}
}

// ReclaimNotice reports that the cloud is about to reclaim an instance.
type ReclaimNotice struct {
	Instance    fleet.InstanceID  `json:"instance"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	// Leaves is the announced time of the termination.
	Leaves time.Time `json:"leaves"`
}

// StartRequest is a request to the cloud to start an instance. Tag is unique to the
// request, so that its outcome can be determined from the instance list if the
// response is lost.
type StartRequest struct {
	Tag         string           `json:"tag"`
	Pool        fleet.PoolName   `json:"pool"`
	Zone        fleet.ZoneName   `json:"zone"`
	Class       fleet.ClassName  `json:"class"`
	Market      fleet.Market     `json:"market"`
	HourlyPrice fleet.MicroCents `json:"hourly"`
	Fence       fleet.Fence      `json:"fence"`
}

// Cloud is a client of the cloud API.
type Cloud struct {
	// StartFunc starts an instance; the error is a *NotExecutedError if the cloud
	// refuses.
	StartFunc func(ctx context.Context, s StartRequest) (fleet.Instance, error)
	// StopFunc terminates an instance.
	StopFunc func(ctx context.Context, id fleet.InstanceID) error
	// NoticesFunc returns the active reclaim notices.
	NoticesFunc func(ctx context.Context) ([]ReclaimNotice, error)
}

// Start starts an instance.
func (c *Cloud) Start(ctx context.Context, s StartRequest) (fleet.Instance, error) {
	if c.StartFunc == nil {
		return fleet.Instance{}, &NotExecutedError{Service: "cloud", Cause: errNoCloud}
	}
	return c.StartFunc(ctx, s)
}

// Stop terminates an instance. It is not an error if it was terminated before.
func (c *Cloud) Stop(ctx context.Context, id fleet.InstanceID) error {
	if c.StopFunc == nil {
		return &NotExecutedError{Service: "cloud", Cause: errNoCloud}
	}
	return c.StopFunc(ctx, id)
}

// Notices returns the active reclaim notices.
func (c *Cloud) Notices(ctx context.Context) ([]ReclaimNotice, error) {
	if c.NoticesFunc == nil {
		return nil, &NotExecutedError{Service: "cloud", Cause: errNoCloud}
	}
	return c.NoticesFunc(ctx)
}

// DialCloud returns a client of the cloud API at a base URL.
func DialCloud(baseURL, token string, client *http.Client) *Cloud {
	c := &jsonClient{service: "cloud", baseURL: baseURL, token: token, client: client}
	return &Cloud{
		StartFunc: func(ctx context.Context, s StartRequest) (i fleet.Instance, err error) {
			body, err := json.Marshal(s)
			if err != nil {
				return i, &NotExecutedError{Service: "cloud", Cause: err}
			}
			err = c.call(ctx, http.MethodPost, CloudInstancesPath, body, &i)
			return i, err
		},
		StopFunc: func(ctx context.Context, id fleet.InstanceID) error {
			return c.call(ctx, http.MethodDelete, CloudInstancesPath+"/"+url.PathEscape(string(id)), nil, &struct{}{})
		},
		NoticesFunc: func(ctx context.Context) (notices []ReclaimNotice, err error) {
			err = c.call(ctx, http.MethodGet, NoticesPath, nil, &notices)
			return notices, err
		},
	}
}
