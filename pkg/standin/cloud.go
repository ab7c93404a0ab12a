package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

// Machine is an instance that the stand-in cloud runs.
type Machine struct {
	Instance fleet.Instance
	server   *Server
	engine   *Engine
}

// Cloud is a stand-in of the cloud API and the instance list. Instances are
// engines and plain services in this process. The zero value is ready to use.
type Cloud struct {
	// Engine and Service return the behaviour of new instances.
	Engine  func(pool fleet.PoolName) *Engine
	Service func(pool fleet.PoolName) *Service
	// Kinds tells what the endpoints of each pool are.
	Kinds map[fleet.PoolName]fleet.Kind
	// Datacentres tells in which data centre a zone is.
	Datacentres map[fleet.ZoneName]fleet.DataCentreName
	// Lag is how old the instance list is.
	Lag time.Duration
	// Replace makes the cloud start an instance in place of one that crashed.
	Replace bool

	mu       sync.Mutex
	state    State
	refused  map[fleet.ZoneName]bool
	machines map[fleet.InstanceID]*Machine
	listed   []listing
	notices  map[fleet.InstanceID]platform.ReclaimNotice
	poison   []string
	started  int
	crashes  int
}

// listing is the list as of a time.
type listing struct {
	at        time.Time
	instances []fleet.Instance
}

// Set switches the state of the API.
func (c *Cloud) Set(s State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
}

// Refuse makes the cloud refuse starts in a zone.
func (c *Cloud) Refuse(z fleet.ZoneName, refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused == nil {
		c.refused = make(map[fleet.ZoneName]bool)
	}
	c.refused[z] = refuse
}

// Crashes returns how many engines have crashed.
func (c *Cloud) Crashes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes
}

// Poison makes prompts that hold the text crash any engine.
func (c *Cloud) Poison(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.poison = append(c.poison, text)
	for _, m := range c.machines {
		if m.engine != nil {
			m.engine.Poison(text)
		}
	}
}

// Start runs a new instance.
func (c *Cloud) Start(s platform.StartRequest) (i fleet.Instance, err error) {
	c.mu.Lock()
	if c.refused[s.Zone] {
		c.mu.Unlock()
		return i, &platform.NotExecutedError{Service: "cloud", Cause: errNoCapacity}
	}
	c.started++
	number := c.started
	poison := slices.Clone(c.poison)
	c.mu.Unlock()
	m := &Machine{Instance: fleet.Instance{
		ID:          fleet.InstanceID(fmt.Sprintf("%s-%d", s.Pool, number)),
		Incarnation: fleet.Incarnation(number),
		Pool:        s.Pool,
		Zone:        s.Zone,
		DataCentre:  c.Datacentres[s.Zone],
		Class:       s.Class,
		Market:      s.Market,
		Hourly:      s.Hourly,
		Condition:   fleet.ConditionLive,
		Tag:         s.Tag,
	}}
	if m.server, err = Serve(c.behaviour(m, poison)); err != nil {
		return i, &platform.NotExecutedError{Service: "cloud", Cause: err}
	}
	m.Instance.Address = m.server.Address
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machines == nil {
		c.machines = make(map[fleet.InstanceID]*Machine)
		c.notices = make(map[fleet.InstanceID]platform.ReclaimNotice)
	}
	c.machines[m.Instance.ID] = m
	c.record()
	return m.Instance, nil
}

var errNoCapacity = errors.New("no capacity")

func (c *Cloud) behaviour(m *Machine, poison []string) http.Handler {
	if c.Kinds[m.Instance.Pool] == fleet.KindService {
		s := &Service{}
		if c.Service != nil {
			s = c.Service(m.Instance.Pool)
		}
		return s.Handler()
	}
	e := &Engine{}
	if c.Engine != nil {
		e = c.Engine(m.Instance.Pool)
	}
	for _, p := range poison {
		e.Poison(p)
	}
	e.Crash = func() { c.crash(m.Instance) }
	m.engine = e
	return e.Handler()
}

// crash ends an instance as its engine's process would end it.
func (c *Cloud) crash(i fleet.Instance) {
	c.mu.Lock()
	c.crashes++
	replace := c.Replace
	c.mu.Unlock()
	time.AfterFunc(0, func() {
		c.End(i.ID)
		if replace {
			_, _ = c.Start(platform.StartRequest{Pool: i.Pool, Zone: i.Zone, Class: i.Class, Market: i.Market, Hourly: i.Hourly})
		}
	})
}

// End ends an instance at once, without notice.
func (c *Cloud) End(id fleet.InstanceID) {
	c.mu.Lock()
	m := c.machines[id]
	delete(c.machines, id)
	delete(c.notices, id)
	if m != nil {
		c.record()
	}
	c.mu.Unlock()
	if m != nil {
		m.server.Close()
	}
}

// Reclaim gives every reclaimable instance of a zone notice and ends it when
// the notice is over. It returns how many.
func (c *Cloud) Reclaim(z fleet.ZoneName, notice time.Duration) (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, m := range c.machines {
		if m.Instance.Zone != z || m.Instance.Market == fleet.MarketOnDemand || m.Instance.Condition != fleet.ConditionLive {
			continue
		}
		m.Instance.Condition = fleet.ConditionLeaving
		m.Instance.Leaves = time.Now().Add(notice)
		c.notices[id] = platform.ReclaimNotice{Instance: id, Incarnation: m.Instance.Incarnation, Leaves: m.Instance.Leaves}
		time.AfterFunc(notice, func() { c.End(id) })
		count++
	}
	c.record()
	return count
}

// Close ends every instance.
func (c *Cloud) Close() {
	for _, i := range c.instances() {
		c.End(i.ID)
	}
}

func (c *Cloud) instances() (list []fleet.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		list = append(list, m.Instance)
	}
	return list
}

// Engines returns the engines of a pool.
func (c *Cloud) Engines(pool fleet.PoolName) (list []*Engine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.engine != nil && m.Instance.Pool == pool {
			list = append(list, m.engine)
		}
	}
	return list
}

// record keeps the list as of now, for the lag. The lock is held.
func (c *Cloud) record() {
	now := listing{at: time.Now()}
	for _, m := range c.machines {
		now.instances = append(now.instances, m.Instance)
	}
	c.listed = append(c.listed, now)
	if len(c.listed) > 1024 {
		c.listed = c.listed[512:]
	}
}

// List returns the instances as of the lag ago.
func (c *Cloud) List() []fleet.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := time.Now().Add(-c.Lag)
	for _, l := range slices.Backward(c.listed) {
		if !l.at.After(limit) {
			return l.instances
		}
	}
	return []fleet.Instance{}
}

// Handler serves the cloud API and the instance list.
func (c *Cloud) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.InstancesPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, c.List())
	})
	mux.HandleFunc("GET "+platform.NoticesPath, func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		list := []platform.ReclaimNotice{}
		for _, n := range c.notices {
			list = append(list, n)
		}
		writeJSON(w, http.StatusOK, list)
	})
	mux.HandleFunc("POST "+platform.CloudInstancesPath, func(w http.ResponseWriter, r *http.Request) {
		var s platform.StartRequest
		if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		i, err := c.Start(s)
		if err != nil {
			writeError(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		if c.lost() {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, http.StatusOK, i)
	})
	mux.HandleFunc("DELETE "+platform.CloudInstancesPath+"/{id}", func(w http.ResponseWriter, r *http.Request) {
		c.End(fleet.InstanceID(r.PathValue("id")))
		writeJSON(w, http.StatusOK, struct{}{})
	})
	return c.guarded(mux)
}

func (c *Cloud) lost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == StateLost
}

// guarded applies the states down and slow to every call.
func (c *Cloud) guarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		state := c.state
		c.mu.Unlock()
		if state == StateDown {
			writeError(w, http.StatusServiceUnavailable, errDown.Error())
			return
		}
		if state == StateSlow {
			wait(r.Context(), SlowDelay)
		}
		next.ServeHTTP(w, r)
	})
}
