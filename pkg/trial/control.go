package trial

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
)

// Addresses holds the addresses and credentials that a black-box test needs.
type Addresses struct {
	Callers   string                       `json:"callers"`
	Operators string                       `json:"operators"`
	Control   string                       `json:"control"`
	Keys      map[fleet.AccountName]string `json:"keys"`
	Token     string                       `json:"token"`
	Pools     map[string]fleet.PoolName    `json:"pools"`
	Zones     []fleet.ZoneName             `json:"zones"`
	// Platform holds the base URLs of the platform stand-ins.
	Platform PlatformAddresses `json:"platform"`
}

// PlatformAddresses holds the base URLs of the platform stand-ins.
type PlatformAddresses struct {
	Log          string `json:"log"`
	InstanceList string `json:"list"`
	Cloud        string `json:"cloud"`
}

// Open starts the balancer and the control server and returns the addresses for
// black-box tests. With StandinsOnly there is no balancer, and the addresses of
// callers and operators are empty.
func (t *Trial) Open() (a Addresses, err error) {
	control, err := t.serve(t.controlHandler())
	if err != nil {
		return a, err
	}
	a = Addresses{
		Control:  control.URL(),
		Platform: PlatformAddresses{Log: t.platform.Log, InstanceList: t.platform.InstanceList, Cloud: t.platform.Cloud},
		Keys:     Keys,
		Token:    t.Token,
		Pools:    map[string]fleet.PoolName{string(fleet.KindModel): PoolModel, string(fleet.KindService): PoolService},
		Zones:    []fleet.ZoneName{ZoneFirst, ZoneSecond},
	}
	if t.StandinsOnly {
		return a, nil
	}
	a.Operators = "http://" + t.Nodes[0].OperatorAddress()
	if err := t.balancer.start(); err != nil {
		return a, err
	}
	a.Callers = "http://" + t.balancer.listener.Addr().String()
	return a, nil
}

// controlHandler returns the handler of the control server, which injects faults
// and reports counters.
func (t *Trial) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Runs.Counts()) })
	mux.HandleFunc("GET /crashes", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Cloud.Crashes()) })
	mux.HandleFunc("POST /log", t.setLog)
	mux.HandleFunc("POST /reclaim", t.reclaim)
	mux.HandleFunc("POST /poison", func(w http.ResponseWriter, r *http.Request) {
		text := r.URL.Query().Get("text")
		if text == "" {
			http.Error(w, "expected ?text=TEXT", http.StatusBadRequest)
			return
		}
		t.Cloud.CrashOn(text)
		writeJSON(w, "ok")
	})
	return mux
}

func (t *Trial) setLog(w http.ResponseWriter, r *http.Request) {
	switch s := standin.State(r.URL.Query().Get("state")); s {
	case standin.StateUp, standin.StateDown, standin.StateSlow, standin.StateLost:
		t.Log.Set(s)
		writeJSON(w, "ok")
	default:
		http.Error(w, "expected ?state=up, down, slow or lost", http.StatusBadRequest)
	}
}

func (t *Trial) reclaim(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	notice, err := time.ParseDuration(q.Get("notice"))
	zone := fleet.ZoneName(q.Get("zone"))
	if err != nil || (zone != ZoneFirst && zone != ZoneSecond) {
		http.Error(w, "expected ?zone=ZONE&notice=5s", http.StatusBadRequest)
		return
	}
	writeJSON(w, t.Cloud.Reclaim(zone, notice))
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
