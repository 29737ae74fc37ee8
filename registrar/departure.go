package registrar

import (
	"maps"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// departureLifetime is how long a server that has gone is remembered, in case the
	// store comes back from a copy that still lists it.
	departureLifetime = 30 * time.Second
	// lapseTime is how long the store may list a server that no longer sends heartbeats.
	lapseTime = 4 * time.Second
)

// departure is a server that was registered as leaving or is no longer registered.
type departure struct {
	// startedAt is when the process of the server started.
	startedAt time.Time
	// announced reports whether the server was registered as leaving.
	announced bool
	forgetAt  time.Time
}

// statement keeps a server from getting work, whatever the list says of it.
type statement struct {
	// startedAt is when the process started that the statement is about.
	startedAt time.Time
	// until is when the statement ends; zero for one that ends with the process.
	until time.Time
}

// statements holds the servers that have stated that they are leaving, and those that had
// departed before the store came back from a copy that lists them as usable.
type statements map[egretflow.ServerName]statement

// noteDepartures notes what the list says of servers that leave. gone holds the servers
// that it no longer contains.
func (s *state) noteDepartures(gone []egretflow.ServerEntry, now time.Time) {
	maps.DeleteFunc(s.departures, func(_ egretflow.ServerName, d departure) bool { return !now.Before(d.forgetAt) })
	note := func(e *egretflow.ServerEntry, announced bool) {
		s.departures[e.Server.Name] = departure{startedAt: e.Server.StartedAt, announced: announced, forgetAt: now.Add(departureLifetime)}
	}
	for name, e := range s.servers {
		if e.Leaving {
			note(&e, true)
		} else if _, closed := s.statedLeaving[name]; !closed {
			delete(s.departures, name)
		}
	}
	for _, e := range gone {
		note(&e, s.isLeaving(&e))
	}
}

// closeDeparted keeps the servers closed that had departed before the store came back from
// a copy. One that was registered as leaving stays closed; one that was only missing, until
// the store has dropped the entries of the servers that no longer run.
func (s *state) closeDeparted(now time.Time) {
	for name, d := range s.departures {
		e, ok := s.servers[name]
		if !ok || e.Leaving || !e.Server.StartedAt.Equal(d.startedAt) {
			continue
		}
		closed := statement{startedAt: d.startedAt}
		if !d.announced {
			closed.until = now.Add(lapseTime)
		}
		s.statedLeaving[name] = closed
	}
}

// reopen ends the statements whose time has passed and returns the servers that may get
// work again, as changes.
func (s *state) reopen(now time.Time) []change {
	var changes []change
	for _, name := range slices.Sorted(maps.Keys(s.statedLeaving)) {
		if until := s.statedLeaving[name].until; !until.IsZero() && !now.Before(until) {
			delete(s.statedLeaving, name)
			delete(s.departures, name)
			changes = append(changes, change{egretflow.EventServerChanged, name, s.servers[name].Pool})
		}
	}
	return changes
}
