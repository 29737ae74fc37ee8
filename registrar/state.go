package registrar

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/egretflow/egretflow"
)

// state is what is believed of the platform.
type state struct {
	configuration *egretflow.Configuration
	servers       map[egretflow.ServerName]egretflow.ServerEntry
	// fingerprint identifies servers.
	fingerprint uint64
	// readRevision is that of the platform's store as of which servers are known.
	readRevision int64
	revision     egretflow.Revision
	deltas       []timedDelta
	// reachable says that the last reading of the servers worked, and graceUntil
	// is when servers that are missing since an outage count as gone.
	reachable  bool
	everRead   bool
	graceUntil time.Time
	// last is the newest reading and lastFingerprint identifies it; servers holds
	// more while entries may return.
	last            egretflow.ServerList
	lastFingerprint uint64
}

// change is one difference between two readings.
type change struct {
	event  egretflow.EventName
	server egretflow.ServerName
	pool   egretflow.PoolName
}

const (
	// deltaLifetime is how long a delta is told, and maxChanges bounds the servers
	// that one names. Peers that miss one read the platform.
	deltaLifetime = 1500 * time.Millisecond
	maxChanges    = 12
)

// timedDelta is a delta and when it was made.
type timedDelta struct {
	egretflow.ServersDelta
	at time.Time
}

// noteDelta keeps what a reading changed.
func (s *state) noteDelta(changes []change, now time.Time) {
	s.deltas = slices.DeleteFunc(s.deltas, func(d timedDelta) bool { return now.Sub(d.at) > deltaLifetime })
	if len(changes) == 0 || len(changes) > maxChanges {
		return
	}
	d := timedDelta{ServersDelta: egretflow.ServersDelta{Revision: s.readRevision}, at: now}
	for _, c := range changes {
		if entry, ok := s.servers[c.server]; ok {
			d.Changed = append(d.Changed, entry)
		} else {
			d.Removed = append(d.Removed, c.server)
		}
	}
	s.deltas = append(s.deltas, d)
}

// follow applies what a peer tells that changed since the own reading, and returns
// it. It does nothing when that does not lead to the servers that the peer knows.
func (s *state) follow(c *egretflow.Confirmation, now time.Time) []change {
	entries := maps.Clone(s.servers)
	for _, d := range c.Deltas {
		if d.Revision <= s.readRevision {
			continue
		}
		for _, e := range d.Changed {
			entries[e.Server.Name] = e
		}
		for _, name := range d.Removed {
			delete(entries, name)
		}
	}
	if fingerprint(entries) != c.Servers {
		return nil
	}
	s.graceUntil = time.Time{}
	return s.replace(egretflow.ServerList{Entries: slices.Collect(maps.Values(entries)), Revision: c.Revision}, now)
}

// agree ends the time in which entries may return, when a peer knows exactly the
// servers of the own newest reading, and returns what changed.
func (s *state) agree(servers uint64, now time.Time) []change {
	if servers != s.lastFingerprint || servers == s.fingerprint {
		return nil
	}
	s.graceUntil = time.Time{}
	return s.replace(s.last, now)
}

// configure takes a configuration and reports whether it is newer (rule 1).
func (s *state) configure(c *egretflow.Configuration) bool {
	if s.configuration != nil && c.Version <= s.configuration.Version {
		return false
	}
	s.configuration = c
	return true
}

// version is that of the configuration in force; 0 without one.
func (s *state) version() uint64 {
	if s.configuration == nil {
		return 0
	}
	return s.configuration.Version
}

// lose notes a failed reading and reports whether it is the first of an outage.
func (s *state) lose() bool {
	first := s.reachable
	s.reachable = false
	return first
}

// replace takes a reading of the servers and returns what changed.
func (s *state) replace(list egretflow.ServerList, now time.Time) []change {
	if !s.reachable && s.everRead {
		s.graceUntil = now.Add(ReturnGrace)
	}
	s.reachable, s.everRead = true, true
	s.last = list
	next := make(map[egretflow.ServerName]egretflow.ServerEntry, len(list.Entries))
	var changes []change
	for _, e := range list.Entries {
		next[e.Server.Name] = e
		old, known := s.servers[e.Server.Name]
		switch {
		case !known:
			changes = append(changes, change{egretflow.EventServerFound, e.Server.Name, e.Pool})
		case e.Leaving && !old.Leaving:
			changes = append(changes, change{egretflow.EventServerLeaving, e.Server.Name, e.Pool})
		case old != e:
			changes = append(changes, change{egretflow.EventServerChanged, e.Server.Name, e.Pool})
		}
	}
	s.lastFingerprint = fingerprint(next)
	kept := false
	for name, old := range s.servers {
		if _, ok := next[name]; ok {
			continue
		}
		if now.Before(s.graceUntil) {
			next[name], kept = old, true
			continue
		}
		changes = append(changes, change{egretflow.EventServerGone, name, old.Pool})
	}
	s.servers, s.fingerprint = next, fingerprint(next)
	if !kept {
		// Otherwise peers may know better.
		s.readRevision = list.Revision
	}
	s.noteDelta(changes, now)
	slices.SortFunc(changes, func(a, b change) int { return strings.Compare(string(a.server), string(b.server)) })
	return changes
}

// tables joins configuration and servers; nil without a configuration.
func (s *state) tables() *egretflow.Tables {
	if s.configuration == nil {
		return nil
	}
	s.revision++
	t := &egretflow.Tables{Revision: s.revision, Routes: s.configuration.Routes}
	t.Pools = slices.Clone(s.configuration.Pools)
	at := make(map[egretflow.PoolName]int, len(t.Pools))
	for n := range t.Pools {
		at[t.Pools[n].Name] = n
	}
	for _, name := range slices.Sorted(maps.Keys(s.servers)) {
		entry := s.servers[name]
		n, ok := at[entry.Pool]
		if !ok {
			continue
		}
		if server, ok := describe(&t.Pools[n], entry); ok {
			t.Pools[n].Servers = append(t.Pools[n].Servers, server)
		}
	}
	return t
}

// describe completes the entry of a server by what its pool says of all. It
// reports false for a server whose role does not fit the pool.
func describe(pool *egretflow.Pool, entry egretflow.ServerEntry) (egretflow.Server, bool) {
	server := entry.Server
	if (server.Role == egretflow.RoleService) != (pool.Kind == egretflow.PoolKindService) {
		return server, false
	}
	server.Blocks, server.LinkBytesPerSecond = pool.Blocks, pool.LinkBytesPerSecond
	server.Drain = entry.Leaving
	return server, true
}
