package registrar

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/egretflow/egretflow"
)

// state is what this instance knows of the platform. The registrar's mutex
// protects it.
type state struct {
	configuration *egretflow.Configuration
	servers       map[egretflow.ServerName]egretflow.ServerEntry
	// fingerprint identifies servers.
	fingerprint uint64
	// version is the version of the platform's store that servers reflects, and
	// tablesRevision counts the tables that were built.
	version        egretflow.StoreVersion
	tablesRevision egretflow.Revision
	deltas         []timedDelta
	// reachable reports whether the last read of the servers succeeded, everRead
	// whether any did. Until graceUntil, servers that are missing after an outage
	// are kept, and until eraGraceUntil, whatever peers confirm, those that are missing
	// after the store has come back from an older copy.
	reachable     bool
	everRead      bool
	graceUntil    time.Time
	eraGraceUntil time.Time
	// registeredAgainAt is when all servers that run have registered again after the store
	// came back from an older copy. An older list says nothing of those that it lacks.
	registeredAgainAt time.Time
	// lastList is the list that was read last and lastFingerprint identifies it.
	// Until graceUntil, servers may hold more servers than it.
	lastList        egretflow.ServerList
	lastFingerprint uint64
	// keepsLost reports whether servers has more servers than lastList because the store
	// has come back from a copy that lacks them. Peers are told lastList then.
	keepsLost bool
	// statedLeaving is not part of servers, which the peers must know alike.
	statedLeaving statements
	departures    map[egretflow.ServerName]departure
	// pausedUntil holds the servers that want no work of this instance before then.
	pausedUntil map[egretflow.ServerName]time.Time
}

// change is one difference between two server lists, with the event that reports
// it.
type change struct {
	event  egretflow.EventName
	server egretflow.ServerName
	pool   egretflow.PoolName
}

const (
	// registrationTime is how long the servers take at most to register again after the
	// return of the store.
	registrationTime = 2 * time.Second
	// deltaLifetime is how long a delta is sent to the peers. A peer that misses a
	// delta reads the platform.
	deltaLifetime = 1500 * time.Millisecond
	// maxDeltaServers is the largest number of servers in a delta. A larger change is
	// not sent, so the peers read the platform.
	maxDeltaServers = 12
)

// timedDelta is a delta and the time at which it was made.
type timedDelta struct {
	egretflow.ServersDelta
	at time.Time
}

// appendDelta drops the deltas that are older than deltaLifetime and adds one for
// the given changes, unless there are none or more than maxDeltaServers.
func (s *state) appendDelta(changes []change, now time.Time) {
	s.deltas = slices.DeleteFunc(s.deltas, func(d timedDelta) bool { return now.Sub(d.at) > deltaLifetime })
	if len(changes) == 0 || len(changes) > maxDeltaServers {
		return
	}
	d := timedDelta{ServersDelta: egretflow.ServersDelta{Version: s.version}, at: now}
	for _, c := range changes {
		if entry, ok := s.servers[c.server]; ok {
			d.Changed = append(d.Changed, entry)
		} else {
			d.Removed = append(d.Removed, c.server)
		}
	}
	s.deltas = append(s.deltas, d)
}

// applyDeltas applies the peer's deltas that are newer than the local server list,
// and returns the changes. It does nothing if the result does not have the peer's
// fingerprint, or if the local list is of another era, in which the deltas lead nowhere.
func (s *state) applyDeltas(c *egretflow.Confirmation, now time.Time) []change {
	if c.Version.Era != s.version.Era {
		return nil
	}
	entries := s.shared()
	for _, d := range c.Deltas {
		if d.Version.Era != s.version.Era || !d.Version.After(s.version) {
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
	if !now.Before(s.eraGraceUntil) {
		s.graceUntil = time.Time{}
	}
	return s.replaceServers(egretflow.ServerList{Entries: slices.Collect(maps.Values(entries)), Version: c.Version, ConfirmedAt: c.ReadAt}, now)
}

// shared returns the servers that peers are told, in a new map.
func (s *state) shared() map[egretflow.ServerName]egretflow.ServerEntry {
	if !s.keepsLost {
		return maps.Clone(s.servers)
	}
	servers := make(map[egretflow.ServerName]egretflow.ServerEntry, len(s.lastList.Entries))
	for _, e := range s.lastList.Entries {
		servers[e.Server.Name] = e
	}
	return servers
}

// sharedFingerprint identifies the servers that peers are told.
func (s *state) sharedFingerprint() uint64 {
	if s.keepsLost {
		return s.lastFingerprint
	}
	return s.fingerprint
}

// endGraceIfConfirmed drops the servers that are only kept until graceUntil, if the
// peer's fingerprint is that of the list which this instance read last. It returns
// the changes. A peer that has started after the store came back from a copy knows only
// what the copy holds, so that it ends no grace for that.
func (s *state) endGraceIfConfirmed(c *egretflow.Confirmation, now time.Time) []change {
	list := s.lastList
	list.ConfirmedAt = c.ReadAt
	if c.Servers != s.lastFingerprint || c.Servers == s.fingerprint || s.lacksLost(&list, now) {
		return nil
	}
	s.graceUntil = time.Time{}
	return s.replaceServers(list, now)
}

// markUnreachable marks the platform unreachable after a failed read and reports
// whether the read is the first that failed in an outage.
func (s *state) markUnreachable() bool {
	first := s.reachable
	s.reachable = false
	return first
}

// beginEra begins the grace for servers that are missing in the older copy from which the
// store has come back. It reports whether era is later than that of the local list.
func (s *state) beginEra(era egretflow.Era, now time.Time) bool {
	if !s.everRead || era <= s.version.Era {
		return false
	}
	s.graceUntil = now.Add(ReregistrationGrace)
	s.eraGraceUntil = s.graceUntil
	s.registeredAgainAt = now.Add(registrationTime)
	return true
}

// applyKnown applies a list that this instance has not read now, so that it says nothing of
// whether the platform can be reached.
func (s *state) applyKnown(list egretflow.ServerList, now time.Time) []change {
	reachable := s.reachable
	s.reachable = true
	changes := s.replaceServers(list, now)
	s.reachable = reachable
	return changes
}

// confirm notes that a peer has read the list that this instance shares, at a version.
func (s *state) confirm(version egretflow.StoreVersion, now time.Time) {
	if version.Era > s.version.Era && s.everRead {
		s.applyKnown(egretflow.ServerList{Entries: slices.Collect(maps.Values(s.shared())), Version: version}, now)
	}
	s.version = s.version.Later(version)
}

// replaceServers applies a list of servers and returns the changes, sorted by
// server. Within the grace period after an outage, or after the store has come back from
// an older copy, it keeps the servers that the list does not contain, except those whose
// registration is invalid (rule 3).
func (s *state) replaceServers(list egretflow.ServerList, now time.Time) []change {
	returned := s.beginEra(list.Version.Era, now)
	if s.everRead && !s.reachable {
		s.graceUntil = now.Add(ReregistrationGrace)
	}
	s.reachable, s.everRead = true, true
	s.lastList = list
	next, changes := s.compare(list.Entries)
	s.lastFingerprint = fingerprint(next)
	listed, version := len(next), list.Version
	s.keepsLost = false
	gone := s.missing(next, &list, now)
	if len(next) > listed {
		// While missing servers are kept, the version stays lower: the list of a peer
		// that has read the same version without them counts as newer, and nobody that
		// knows of their end takes them over. After a return of the store the peers are
		// told the list as it was read, because each of them keeps what it lacks.
		s.keepsLost = s.lacksLost(&list, now)
		if !s.keepsLost {
			version = s.version
		}
	}
	for _, e := range gone {
		changes = append(changes, change{egretflow.EventServerGone, e.Server.Name, e.Pool})
	}
	s.servers, s.fingerprint, s.version = next, fingerprint(next), s.version.Later(version)
	if returned {
		s.closeDeparted(now)
	}
	s.noteDepartures(gone, now)
	s.dropStatements()
	s.appendDelta(changes, now)
	changes = append(changes, s.reopen(now)...)
	slices.SortFunc(changes, func(a, b change) int { return strings.Compare(string(a.server), string(b.server)) })
	return changes
}

// compare returns the listed servers by name, and what has changed in them.
func (s *state) compare(entries []egretflow.ServerEntry) (map[egretflow.ServerName]egretflow.ServerEntry, []change) {
	next := make(map[egretflow.ServerName]egretflow.ServerEntry, len(entries))
	var changes []change
	for _, e := range entries {
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
	return next, changes
}

// lacksLost reports whether the list may lack servers that run, because the store has come
// back from a copy that lacks them.
func (s *state) lacksLost(list *egretflow.ServerList, now time.Time) bool {
	confirmedAt := list.ConfirmedAt
	if confirmedAt.IsZero() {
		confirmedAt = now
	}
	return now.Before(s.eraGraceUntil) || confirmedAt.Before(s.registeredAgainAt)
}

// missing returns the known servers that next, made of a list, does not contain. Within the
// grace period it adds those to next instead whose registration is not invalid.
func (s *state) missing(next map[egretflow.ServerName]egretflow.ServerEntry, list *egretflow.ServerList, now time.Time) []egretflow.ServerEntry {
	var gone []egretflow.ServerEntry
	keeps := now.Before(s.graceUntil) || s.lacksLost(list, now)
	for name, old := range s.servers {
		if _, ok := next[name]; ok {
			continue
		}
		if keeps && !slices.Contains(list.Invalid, name) {
			next[name] = old
			continue
		}
		gone = append(gone, old)
	}
	return gone
}

// buildTables returns new tables with the next revision, made of the configuration
// and the servers, or nil without a configuration. Servers of unknown pools are left
// out.
func (s *state) buildTables() *egretflow.Tables {
	if s.configuration == nil {
		return nil
	}
	s.tablesRevision++
	t := &egretflow.Tables{Revision: s.tablesRevision, Routes: s.configuration.Routes, Organisations: s.configuration.Organisations}
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
		entry.Leaving = s.isLeaving(&entry)
		if server, ok := completeServer(&t.Pools[n], entry); ok {
			t.Pools[n].Servers = append(t.Pools[n].Servers, server)
		}
	}
	return t
}

// completeServer returns the server with the settings of its pool filled in. It
// returns false for a server whose role does not fit the kind of the pool.
func completeServer(pool *egretflow.Pool, entry egretflow.ServerEntry) (egretflow.Server, bool) {
	server := entry.Server
	if (server.Role == egretflow.RoleService) != (pool.Kind == egretflow.PoolKindService) {
		return server, false
	}
	server.Blocks, server.LinkBytesPerSecond = pool.Blocks, pool.LinkBytesPerSecond
	server.Drain = entry.Leaving
	return server, true
}
