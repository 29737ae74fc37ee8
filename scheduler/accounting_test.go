package scheduler

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/picker"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "200", "rapid.steps": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// violations is a Checker that collects the invariants that did not hold.
type violations struct{ list []string }

func (v *violations) Check(i egretflow.Invariant, holds bool, _ egretflow.RequestID, detail string) {
	if !holds {
		v.list = append(v.list, string(i)+": "+detail)
	}
}

// model drives a task and holds the attempts that the task must account for.
type model struct {
	task    *task
	now     time.Time
	checker *violations
	tables  *egretflow.Tables
	waiting []*waiter
	running []*egretflow.Assignment
	grants  map[egretflow.ServerName]egretflow.Grant
	// started holds all attempts that have ever been assigned.
	started map[egretflow.AttemptID]bool
}

func newModel() *model {
	m := &model{now: time.Unix(1000, 0), checker: &violations{}, tables: testTables(2, 3, 4), grants: map[egretflow.ServerName]egretflow.Grant{}, started: map[egretflow.AttemptID]bool{}}
	m.tables.Routes = []egretflow.Route{{Name: "r", Pool: "letters", Idempotent: true, HedgePercent: 100, RetryPercent: 100}}
	m.task = newTask(Config{Instance: "i", Clock: func() time.Time { return m.now }, Rand: rand.New(rand.NewPCG(1, 2)), Recorder: fakeRecorder{}, Checker: m.checker, Sharing: picker.SharingGrants})
	m.task.now = m.now
	m.task.handle(tablesMessage{tables: m.tables})
	return m
}

// collect moves waiters with a result out of m.waiting and checks the assignments
// of new attempts.
func (m *model) collect(t *rapid.T) {
	var left []*waiter
	for _, w := range m.waiting {
		switch {
		case !w.done:
			left = append(left, w)
		case w.err == nil && w.replaces == "":
			m.running = append(m.running, w.assignment)
			m.checkStart(t, w.assignment)
		case w.err == nil:
			for n, a := range m.running {
				if a.Attempt == w.replaces {
					m.running[n] = w.assignment
				}
			}
		}
	}
	m.waiting = left
}

// checkStart checks that a is a new attempt and that its servers have unexpired
// grants.
func (m *model) checkStart(t *rapid.T, a *egretflow.Assignment) {
	if m.started[a.Attempt] {
		t.Fatalf("attempt %s assigned twice", a.Attempt)
	}
	m.started[a.Attempt] = true
	for _, name := range []egretflow.ServerName{a.Prefill.Name, a.Decode.Name} {
		if g := m.grants[name]; !m.now.Before(g.ExpiresAt) || a.GrantExpiresAt.After(g.ExpiresAt) {
			t.Fatalf("work started on %s under grant %+v at %v, GrantExpiresAt %v", name, g, m.now, a.GrantExpiresAt)
		}
		m.checkUse(t, a, name)
	}
}

// checkUse checks the slots in use on the named server of a. Beyond the grants it
// allows one prefill per server, and one critical request on a single decode server
// of the instance.
func (m *model) checkUse(t *rapid.T, a *egretflow.Assignment, name egretflow.ServerName) {
	limit := m.grants[name].Slots
	switch {
	case name == a.Prefill.Name:
		limit++
	case a.Work.Importance == egretflow.ImportanceCritical:
		limit += a.Slots
	}
	exceeded, critical := 0, a.Work.Importance == egretflow.ImportanceCritical
	m.task.pools["letters"].picker.Servers(func(s *picker.Server) {
		over := s.InUse() > m.grants[s.Spec.Name].Slots
		if s.Spec.Name == name && s.InUse() > limit {
			t.Fatalf("%d slots in use on %s, want at most %d", s.InUse(), name, limit)
		}
		if over && s.Role() == egretflow.RoleDecode {
			exceeded++
		}
	})
	s, ok := m.task.pools["letters"].picker.Server(name)
	if ok && critical && s.Role() == egretflow.RoleDecode && s.InUse() > m.grants[name].Slots && exceeded > 1 {
		t.Fatalf("work started on %s beyond the grant while %d decode servers exceed theirs", name, exceeded)
	}
}

// verify compares the slots, attempts and streams of the task with the running and
// waiting attempts of the model.
func (m *model) verify(t *rapid.T) {
	m.collect(t)
	if len(m.checker.list) > 0 {
		t.Fatalf("invariants violated: %v", m.checker.list)
	}
	used := map[egretflow.ServerName]int{}
	for _, a := range m.running {
		used[a.Decode.Name] += a.Slots
		if m.task.attempts[a.Attempt].placement.HoldsPrefill() {
			used[a.Prefill.Name]++
		}
	}
	sum := 0
	m.task.pools["letters"].picker.Servers(func(s *picker.Server) {
		if s.InUse() != used[s.Spec.Name] {
			t.Fatalf("server %s: %d slots in use, want %d", s.Spec.Name, s.InUse(), used[s.Spec.Name])
		}
		if s.Role() == egretflow.RoleDecode {
			sum += s.InUse()
		}
	})
	p := m.task.pools["letters"]
	if p.picker.UsedDecodeCapacity() != sum || p.running != len(m.running) || len(m.task.attempts) != len(m.running) {
		t.Fatalf("used %d, running %d, attempts %d; want %d, %d, %d", p.picker.UsedDecodeCapacity(), p.running, len(m.task.attempts), sum, len(m.running), len(m.running))
	}
	work := egretflow.Work{Caller: "c", Route: "r"}
	if got := m.task.streams.Count(&work); got != len(m.running)+m.countWaitingAttempts() {
		t.Fatalf("%d open streams, want %d running and %d waiting", got, len(m.running), m.countWaitingAttempts())
	}
}

// countWaitingAttempts returns the number of waiting requests, without those that
// wait for another prefill server.
func (m *model) countWaitingAttempts() int {
	n := 0
	for _, w := range m.waiting {
		if w.replaces == "" {
			n++
		}
	}
	return n
}

// acquire sends a request with random properties.
func (m *model) acquire(t *rapid.T) {
	w := &egretflow.Work{
		Request: "q", Caller: "c", Route: "r", Pool: "letters", Idempotent: true,
		Importance:   rapid.SampledFrom(egretflow.Importances).Draw(t, "importance"),
		PromptTokens: rapid.SampledFrom([]int{100, 3000, 20000}).Draw(t, "tokens"), MaxTokens: 50,
		Prefix: []egretflow.PrefixHash{1, 2}, Fingerprint: rapid.Uint64Range(0, 3).Draw(t, "fingerprint"),
		ArrivedAt: m.now, FirstTokenBy: m.now.Add(5 * time.Second),
		Retry: rapid.Bool().Draw(t, "retry"),
	}
	w.Hedge = !w.Retry && rapid.Bool().Draw(t, "hedge")
	m.waiting = append(m.waiting, newWaiter(w, ""))
	m.task.handle(acquireMessage{waiter: m.waiting[len(m.waiting)-1]})
}

// randomAttempt returns a random running attempt or nil.
func (m *model) randomAttempt(t *rapid.T) *egretflow.Assignment {
	if len(m.running) == 0 {
		return nil
	}
	return m.running[rapid.IntRange(0, len(m.running)-1).Draw(t, "attempt")]
}

func (m *model) release(a *egretflow.Assignment) {
	m.task.handle(releaseMessage{release: egretflow.Release{Attempt: a.Attempt}})
	for n := range m.running {
		if m.running[n] == a {
			m.running = append(m.running[:n], m.running[n+1:]...)
			return
		}
	}
}

// grant gives the instance a random number of slots of a random server for 2 s.
func (m *model) grant(t *rapid.T) {
	s := m.tables.Pools[0].Servers[rapid.IntRange(0, 4).Draw(t, "server")]
	g := egretflow.Grant{Server: s.Name, Slots: rapid.IntRange(0, 4).Draw(t, "slots"), ExpiresAt: m.now.Add(2 * time.Second)}
	m.grants[s.Name] = g
	m.task.handle(grantsMessage{grants: []egretflow.Grant{g}})
}

// observe sends a random observation of a server of a random running attempt.
func (m *model) observe(t *rapid.T) {
	a := m.randomAttempt(t)
	if a == nil {
		return
	}
	kind := rapid.SampledFrom([]egretflow.ObservationKind{
		egretflow.ObservationPrefillDone, egretflow.ObservationTransferDone, egretflow.ObservationTokens,
		egretflow.ObservationFailed, egretflow.ObservationCrashed, egretflow.ObservationRefused,
	}).Draw(t, "kind")
	server := rapid.SampledFrom([]egretflow.ServerName{a.Prefill.Name, a.Decode.Name}).Draw(t, "server")
	m.task.handle(observeMessage{observation: egretflow.Observation{Kind: kind, Server: server, Attempt: a.Attempt, StartedAt: m.now.Add(-50 * time.Millisecond), EndedAt: m.now, Tokens: 10}})
}

// Guards against slots that stay reserved or are freed twice in some order of
// messages: a server would stay idle or get more work than its limit.
func TestSchedulerAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"acquire": m.acquire,
			"grant":   m.grant,
			"observe": m.observe,
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				m.task.now = m.now
				m.task.tick()
			},
			"cancel": func(t *rapid.T) {
				if len(m.waiting) > 0 {
					m.task.handle(cancelMessage{waiter: m.waiting[rapid.IntRange(0, len(m.waiting)-1).Draw(t, "waiter")]})
				}
			},
			"release": func(t *rapid.T) {
				if a := m.randomAttempt(t); a != nil {
					m.release(a)
				}
			},
			"prefill only": func(t *rapid.T) {
				if a := m.randomAttempt(t); a != nil {
					m.task.handle(releaseMessage{release: egretflow.Release{Attempt: a.Attempt, PrefillOnly: true}})
				}
			},
			"replace": func(t *rapid.T) {
				if a := m.randomAttempt(t); a != nil {
					w := newWaiter(a.Work, a.Attempt)
					m.waiting = append(m.waiting, w)
					m.task.handle(acquireMessage{waiter: w})
				}
			},
			"unavailable": func(t *rapid.T) {
				m.task.handle(unavailableMessage{servers: []egretflow.ServerName{rapid.SampledFrom([]egretflow.ServerName{"a", "c", "x"}).Draw(t, "server")}})
			},
			"tables": func(*rapid.T) { m.task.handle(tablesMessage{tables: m.tables}) },
			"":       m.verify,
		})
		for len(m.running) > 0 {
			m.release(m.running[0])
			m.collect(t)
		}
		if p := m.task.pools["letters"].picker; p.UsedDecodeCapacity() != 0 || p.Outstanding() != 0 || p.PendingTransfers() != 0 || len(m.task.isolated) != 0 {
			t.Fatalf("left after the last release: %d slots, %v tokens, %d bytes, %d isolated", p.UsedDecodeCapacity(), p.Outstanding(), p.PendingTransfers(), len(m.task.isolated))
		}
	})
}
