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

// cloudInstance is an instance that Cloud has started.
type cloudInstance struct {
	Instance fleet.Instance
	server   *Server
	engine   *Engine
}

// Cloud is a stand-in for the cloud API and the instance list. Its instances are
// engines and plain services in the same process. The zero value is ready to use.
type Cloud struct {
	// Engine and Service create the endpoint of a new instance in a pool. They may
	// be nil.
	Engine  func(pool fleet.PoolName) *Engine
	Service func(pool fleet.PoolName) *Service
	// Kinds maps each pool to the kind of its endpoints.
	Kinds map[fleet.PoolName]fleet.Kind
	// DataCentres maps each zone to its data centre.
	DataCentres map[fleet.ZoneName]fleet.DataCentreName
	// Lag is the age of the instance list that List returns.
	Lag time.Duration
	// ReplaceCrashed makes the cloud start a new instance for each one that
	// crashed.
	ReplaceCrashed bool

	mu         sync.Mutex
	state      State
	refused    map[fleet.ZoneName]bool
	running    map[fleet.InstanceID]*cloudInstance
	snapshots  []listSnapshot
	notices    map[fleet.InstanceID]platform.ReclaimNotice
	crashTexts []string
	started    int
	crashes    int
}

// listSnapshot is the instance list at a point in time.
type listSnapshot struct {
	takenAt   time.Time
	instances []fleet.Instance
}

// Set sets the state of the API.
func (c *Cloud) Set(s State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
}

// RefuseStarts sets whether the cloud refuses to start instances in a zone.
func (c *Cloud) RefuseStarts(zone fleet.ZoneName, refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused == nil {
		c.refused = make(map[fleet.ZoneName]bool)
	}
	c.refused[zone] = refuse
}

// Crashes returns the number of engines that have crashed.
func (c *Cloud) Crashes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes
}

// CrashOn makes every engine crash on prompts that contain the text.
func (c *Cloud) CrashOn(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashTexts = append(c.crashTexts, text)
	for _, i := range c.running {
		if i.engine != nil {
			i.engine.CrashOn(text)
		}
	}
}

// Start starts a new instance.
func (c *Cloud) Start(request platform.StartRequest) (instance fleet.Instance, err error) {
	c.mu.Lock()
	if c.refused[request.Zone] {
		c.mu.Unlock()
		return instance, &platform.NotExecutedError{Service: "cloud", Cause: errNoCapacity}
	}
	c.started++
	number := c.started
	crashTexts := slices.Clone(c.crashTexts)
	c.mu.Unlock()
	created := &cloudInstance{Instance: fleet.Instance{
		ID:          fleet.InstanceID(fmt.Sprintf("%s-%d", request.Pool, number)),
		Incarnation: fleet.Incarnation(number),
		Pool:        request.Pool,
		Zone:        request.Zone,
		DataCentre:  c.DataCentres[request.Zone],
		Class:       request.Class,
		Market:      request.Market,
		HourlyPrice: request.HourlyPrice,
		Condition:   fleet.ConditionLive,
		Tag:         request.Tag,
	}}
	if created.server, err = Serve(c.newHandler(created, crashTexts)); err != nil {
		return instance, &platform.NotExecutedError{Service: "cloud", Cause: err}
	}
	created.Instance.Address = created.server.Address
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = make(map[fleet.InstanceID]*cloudInstance)
		c.notices = make(map[fleet.InstanceID]platform.ReclaimNotice)
	}
	c.running[created.Instance.ID] = created
	c.recordSnapshot()
	return created.Instance, nil
}

var errNoCapacity = errors.New("no capacity")

func (c *Cloud) newHandler(i *cloudInstance, crashTexts []string) http.Handler {
	if c.Kinds[i.Instance.Pool] == fleet.KindService {
		s := &Service{}
		if c.Service != nil {
			s = c.Service(i.Instance.Pool)
		}
		return s.Handler()
	}
	e := &Engine{}
	if c.Engine != nil {
		e = c.Engine(i.Instance.Pool)
	}
	for _, text := range crashTexts {
		e.CrashOn(text)
	}
	e.OnCrash = func() { c.recordCrash(i.Instance) }
	i.engine = e
	return e.Handler()
}

// recordCrash counts a crash and terminates the instance in the background, as if the
// process of its engine had ended. With ReplaceCrashed it then starts a new one.
func (c *Cloud) recordCrash(instance fleet.Instance) {
	c.mu.Lock()
	c.crashes++
	replace := c.ReplaceCrashed
	c.mu.Unlock()
	time.AfterFunc(0, func() {
		c.Terminate(instance.ID)
		if replace {
			_, _ = c.Start(platform.StartRequest{Pool: instance.Pool, Zone: instance.Zone, Class: instance.Class, Market: instance.Market, HourlyPrice: instance.HourlyPrice})
		}
	})
}

// Terminate terminates an instance immediately, without a notice.
func (c *Cloud) Terminate(id fleet.InstanceID) {
	c.mu.Lock()
	i := c.running[id]
	delete(c.running, id)
	delete(c.notices, id)
	if i != nil {
		c.recordSnapshot()
	}
	c.mu.Unlock()
	if i != nil {
		i.server.Close()
	}
}

// Reclaim gives notice to every reclaimable instance of a zone and terminates it
// when the notice period ends. It returns the number of these instances.
func (c *Cloud) Reclaim(zone fleet.ZoneName, notice time.Duration) (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, i := range c.running {
		if i.Instance.Zone != zone || i.Instance.Market == fleet.MarketOnDemand || i.Instance.Condition != fleet.ConditionLive {
			continue
		}
		i.Instance.Condition = fleet.ConditionLeaving
		i.Instance.Leaves = time.Now().Add(notice)
		c.notices[id] = platform.ReclaimNotice{Instance: id, Incarnation: i.Instance.Incarnation, Leaves: i.Instance.Leaves}
		time.AfterFunc(notice, func() { c.Terminate(id) })
		count++
	}
	c.recordSnapshot()
	return count
}

// Close terminates every instance.
func (c *Cloud) Close() {
	for _, i := range c.instances() {
		c.Terminate(i.ID)
	}
}

func (c *Cloud) instances() (list []fleet.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.running {
		list = append(list, i.Instance)
	}
	return list
}

// Engines returns the engines of a pool.
func (c *Cloud) Engines(pool fleet.PoolName) (list []*Engine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.running {
		if i.engine != nil && i.Instance.Pool == pool {
			list = append(list, i.engine)
		}
	}
	return list
}

// recordSnapshot records the current instance list for later calls of List. The
// caller must hold the lock.
func (c *Cloud) recordSnapshot() {
	snapshot := listSnapshot{takenAt: time.Now()}
	for _, i := range c.running {
		snapshot.instances = append(snapshot.instances, i.Instance)
	}
	c.snapshots = append(c.snapshots, snapshot)
	if len(c.snapshots) > 1024 {
		c.snapshots = c.snapshots[512:]
	}
}

// List returns the instance list as it was Lag ago.
func (c *Cloud) List() []fleet.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := time.Now().Add(-c.Lag)
	for _, snapshot := range slices.Backward(c.snapshots) {
		if !snapshot.takenAt.After(latest) {
			return snapshot.instances
		}
	}
	return []fleet.Instance{}
}

// Handler returns the HTTP handler of the cloud API and the instance list.
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
		if c.dropsResponse() {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, http.StatusOK, i)
	})
	mux.HandleFunc("DELETE "+platform.CloudInstancesPath+"/{id}", func(w http.ResponseWriter, r *http.Request) {
		c.Terminate(fleet.InstanceID(r.PathValue("id")))
		writeJSON(w, http.StatusOK, struct{}{})
	})
	return c.applyState(mux)
}

// dropsResponse reports whether the response to a request is to be dropped.
func (c *Cloud) dropsResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == StateLost
}

// applyState applies the states StateDown and StateSlow to every request.
func (c *Cloud) applyState(next http.Handler) http.Handler {
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
