package scheduler

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

// hintLifetime is how long a role change that a peer reported keeps work from the
// server. Peers repeat their hints at least every second.
const hintLifetime = 3 * time.Second

type (
	hintsMessage struct {
		now   time.Time
		reply chan egretflow.ServerHints
	}
	applyHintsMessage struct{ hints egretflow.ServerHints }
)

func (hintsMessage) isMessage()      {}
func (applyHintsMessage) isMessage() {}

// ServerHints returns the role changes that this instance has ordered and the
// losses of servers that it has proved, to be sent to the peers.
func (s *Scheduler) ServerHints(now time.Time) egretflow.ServerHints {
	m := hintsMessage{now: now, reply: make(chan egretflow.ServerHints, 1)}
	return ask(s, m, m.reply)
}

// ApplyServerHints keeps work from the servers that a peer has reported. The
// hints are not forwarded to other peers.
func (s *Scheduler) ApplyServerHints(hints egretflow.ServerHints) {
	s.send(applyHintsMessage{hints: hints})
}

func (t *task) serverHints(now time.Time) egretflow.ServerHints {
	hints := egretflow.ServerHints{Lost: t.lossesToReport(now)}
	for name, change := range t.roleChanges {
		if change.ordered && now.Before(change.until) {
			hints.Changing = append(hints.Changing, name)
		}
	}
	slices.Sort(hints.Changing)
	return hints
}

func (t *task) applyServerHints(hints *egretflow.ServerHints) {
	for _, name := range hints.Changing {
		t.markRoleChanging(name, roleChange{until: t.now.Add(hintLifetime)})
	}
	t.applyPeerLosses(hints.Lost)
}
