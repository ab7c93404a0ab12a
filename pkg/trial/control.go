package trial

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
)

// Addresses tell a test from outside how to reach the try-out.
type Addresses struct {
	Callers   string                       `json:"callers"`
	Operators string                       `json:"operators"`
	Control   string                       `json:"control"`
	Keys      map[fleet.AccountName]string `json:"keys"`
	Token     string                       `json:"token"`
	Pools     map[string]fleet.PoolName    `json:"pools"`
	Zones     []fleet.ZoneName             `json:"zones"`
	// Platform holds the base URLs of the stand-ins of the platform.
	Platform PlatformAddresses `json:"platform"`
}

// PlatformAddresses are the base URLs of the stand-ins of the platform.
type PlatformAddresses struct {
	Log   string `json:"log"`
	List  string `json:"list"`
	Cloud string `json:"cloud"`
}

// Open starts the balancer and the control address and returns how to reach
// everything. It is for tests from outside.
func (t *Trial) Open() (a Addresses, err error) {
	control, err := t.serve(t.control())
	if err != nil {
		return a, err
	}
	a = Addresses{
		Control:  control.URL(),
		Platform: PlatformAddresses{Log: t.platform.Log, List: t.platform.InstanceList, Cloud: t.platform.Cloud},
		Keys:     Keys,
		Token:    t.Token,
		Pools:    map[string]fleet.PoolName{string(fleet.KindModel): PoolModel, string(fleet.KindService): PoolService},
		Zones:    []fleet.ZoneName{ZoneFirst, ZoneSecond},
	}
	if t.Bare {
		return a, nil
	}
	a.Operators = "http://" + t.Nodes[0].Operators()
	if err := t.balance.start(); err != nil {
		return a, err
	}
	a.Callers = "http://" + t.balance.net.Addr().String()
	return a, nil
}

// control serves the address that causes faults by hand.
func (t *Trial) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { reply(w, t.Runs.Counts()) })
	mux.HandleFunc("GET /crashes", func(w http.ResponseWriter, _ *http.Request) { reply(w, t.Cloud.Crashes()) })
	mux.HandleFunc("POST /log", t.setLog)
	mux.HandleFunc("POST /reclaim", t.reclaim)
	mux.HandleFunc("POST /poison", func(w http.ResponseWriter, r *http.Request) {
		text := r.URL.Query().Get("text")
		if text == "" {
			http.Error(w, "expected ?text=TEXT", http.StatusBadRequest)
			return
		}
		t.Cloud.Poison(text)
		reply(w, "ok")
	})
	return mux
}

func (t *Trial) setLog(w http.ResponseWriter, r *http.Request) {
	switch s := standin.State(r.URL.Query().Get("state")); s {
	case standin.StateUp, standin.StateDown, standin.StateSlow, standin.StateLost:
		t.Log.Set(s)
		reply(w, "ok")
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
	reply(w, t.Cloud.Reclaim(zone, notice))
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
