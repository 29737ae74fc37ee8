// Package lister is a stub of the platform's list of live and leaving instances
// and backend servers, in the format of Prometheus HTTP service discovery.
// Changes appear in the list after a configurable lag.
//
// # Usage
//
//	list := lister.New(lister.Config{Lag: 5 * time.Second})
//	list.Set(lister.Entry{Name: "entry-1", Address: addr, Kind: lister.KindInstance, State: egretflow.MemberStateLive})
//	srv := &http.Server{Handler: list}
//
// # Rules
//
//  1. GET /targets returns the list as it was Lag ago.
//  2. POST /entries adds or replaces the entry with the given name, and DELETE
//     /entries/{name} removes it. Both appear in the list after Lag.
//  3. Entries set through Config are visible immediately.
//  4. While Stall is active, the list stays as it was when the fault was set.
//     Slow multiplies Lag by Factor for changes made while it is active. Outage
//     and Silent act as on the other stubs.
package lister

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/fault"
)

const maxBodyBytes = 1 << 20

// Kind is the type of a listed entry.
type Kind string

// The kinds of entries.
const (
	KindInstance      Kind = "Instance"
	KindBackendServer Kind = "BackendServer"
)

// Entry is one instance or backend server.
type Entry struct {
	Name          string
	Address       netip.AddrPort
	FailureDomain egretflow.FailureDomain
	Region        egretflow.Region
	State         egretflow.MemberState
	Kind          Kind
}

// Config holds the settings of a Lister.
type Config struct {
	// Lag is the time from a change until the list shows it.
	Lag time.Duration
	// Entries is the initial list, visible immediately.
	Entries []Entry
	Clock   egretflow.Clock
}

// change is an update of one entry that becomes visible at time at.
type change struct {
	at     time.Time
	name   string
	entry  Entry
	remove bool
}

// Lister is a stub of the platform's list. It is an http.Handler and safe for concurrent use.
type Lister struct {
	// Faults holds the faults that are active on the list.
	Faults *fault.Set

	cfg     Config
	handler http.Handler

	mu      sync.Mutex
	visible map[string]Entry
	pending []change
	reads   int
}

// New returns a Lister that shows the entries of cfg. A nil Clock selects
// egretflow.SystemClock.
func New(cfg Config) *Lister {
	if cfg.Clock == nil {
		cfg.Clock = egretflow.SystemClock
	}
	l := &Lister{cfg: cfg, Faults: fault.NewSet(cfg.Clock), visible: map[string]Entry{}}
	for _, e := range cfg.Entries {
		l.visible[e.Name] = e
	}
	l.Faults.OnChange(func(f fault.Fault) {
		if f.Kind == fault.Stall {
			l.freeze()
		}
	})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /targets", l.serveTargets)
	mux.HandleFunc("POST /entries", l.serveSet)
	mux.HandleFunc("DELETE /entries/{name}", l.serveRemove)
	mux.HandleFunc("GET /stats", l.serveStats)
	l.handler = l.Faults.Handler(mux)
	return l
}

// ServeHTTP implements http.Handler.
func (l *Lister) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.handler.ServeHTTP(w, r) }

// Set adds or replaces an entry; the list shows it after the lag.
func (l *Lister) Set(e Entry) { l.add(change{name: e.Name, entry: e}) }

// Remove removes an entry; the list shows it after the lag.
func (l *Lister) Remove(name string) { l.add(change{name: name, remove: true}) }

func (l *Lister) add(c change) {
	factor := 1.0
	if rate, _ := l.Faults.Speed(); rate > 0 {
		factor = 1 / rate
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = l.cfg.Clock().Add(time.Duration(float64(l.cfg.Lag) * factor))
	if last := len(l.pending) - 1; last >= 0 && l.pending[last].at.After(c.at) {
		c.at = l.pending[last].at
	}
	l.pending = append(l.pending, c)
}

// applyUntil makes the changes that are due by now visible.
func (l *Lister) applyUntil(now time.Time) {
	for len(l.pending) > 0 && !l.pending[0].at.After(now) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.remove {
			delete(l.visible, c.name)
		} else {
			l.visible[c.name] = c.entry
		}
	}
}

// freeze makes the changes visible that are due when a Stall fault begins.
func (l *Lister) freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyUntil(l.cfg.Clock())
}

// Visible returns the entries that the list currently shows, sorted by name.
func (l *Lister) Visible() []Entry {
	stalled := l.Faults.Active(fault.Stall)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !stalled {
		l.applyUntil(l.cfg.Clock())
	}
	entries := make([]Entry, 0, len(l.visible))
	for _, e := range l.visible {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return entries
}

// target is one target group of Prometheus HTTP service discovery.
type target struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

func (l *Lister) serveTargets(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	l.reads++
	l.mu.Unlock()
	targets := []target{}
	for _, e := range l.Visible() {
		targets = append(targets, target{
			Targets: []string{e.Address.String()},
			Labels: map[string]string{
				"Name": e.Name, "FailureDomain": string(e.FailureDomain), "Region": string(e.Region),
				"State": string(e.State), "Kind": string(e.Kind),
			},
		})
	}
	w.Header().Set("Content-Type", "application/json")
	writeJSON(w, targets)
}

func (l *Lister) serveSet(w http.ResponseWriter, r *http.Request) {
	var e Entry
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&e)
	if err == nil {
		err = e.check()
	}
	if err != nil {
		http.Error(w, fmt.Sprintf("decode entry: %v", err), http.StatusBadRequest)
		return
	}
	l.Set(e)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Entry) check() error {
	switch {
	case e.Name == "":
		return &egretflow.FieldError{Field: "Name", Reason: "must not be empty"}
	case !e.Address.IsValid():
		return &egretflow.FieldError{Field: "Address", Reason: "must be an IP address and a port"}
	case e.State == "":
		return &egretflow.FieldError{Field: "State", Reason: "must be Live or Leaving"}
	case e.Kind != KindInstance && e.Kind != KindBackendServer:
		return &egretflow.FieldError{Field: "Kind", Reason: "must be Instance or BackendServer"}
	}
	return nil
}

func (l *Lister) serveRemove(w http.ResponseWriter, r *http.Request) {
	l.Remove(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

func (l *Lister) serveStats(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	writeJSON(w, map[string]int{"Reads": l.reads, "Entries": len(l.visible), "Pending": len(l.pending)})
}

func writeJSON(w io.Writer, v any) {
	// The client may have disconnected; there is nothing left to do then.
	_ = json.NewEncoder(w).Encode(v)
}
