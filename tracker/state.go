package tracker

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/egretflow/egretflow"
)

// missesUntilUnavailable is the number of lists in which a server must be missing
// to become unavailable (rule 5).
const missesUntilUnavailable = 2

// member is the state of one instance.
type member struct {
	egretflow.Member
	// inList says whether the newest list contains the instance.
	inList      bool
	incarnation uint64
	// reportedLeaving is the Leaving of the newest answer.
	reportedLeaving bool
	reachable       bool
}

// server is the state of one backend server.
type server struct {
	// leaving is the state in the newest list that contained the server, and
	// draining that in its newest load report.
	leaving  bool
	draining bool
	// misses counts the lists without the server since it was last listed or sent a
	// load report (rule 5).
	misses int
	// inList says whether any list has contained the server.
	inList bool
	// loadAt is the time of receipt of the newest load report.
	loadAt time.Time
}

// state is the membership and the state of the servers. Only the goroutine of
// Tracker.Run uses it.
type state struct {
	cfg     Config
	members map[egretflow.InstanceName]*member
	servers map[egretflow.ServerName]*server
	// unavailable is the sorted set last passed to Config.Unavailable.
	unavailable []egretflow.ServerName
	// listRead reports whether a list was read.
	listRead bool
	// changed reports whether the next view gets a new version, and refreshView
	// whether a view of the same version is stored if nothing else has changed.
	changed     bool
	refreshView bool
}

func newState(cfg Config) *state {
	self := &member{Member: cfg.Self, inList: true, reachable: true}
	self.State = egretflow.MemberStateLive
	return &state{
		cfg:     cfg,
		members: map[egretflow.InstanceName]*member{cfg.Self.Name: self},
		servers: map[egretflow.ServerName]*server{},
	}
}

func (s *state) handle(m message, now time.Time) {
	switch m := m.(type) {
	case answerMessage:
		s.applyAnswer(m.answer, now)
	case loadMessage:
		srv := s.server(m.report.Server)
		srv.draining, srv.loadAt, srv.misses = m.report.Draining, now, 0
		s.updateUnavailable()
	case listMessage:
		s.applyList(m.result, now)
	}
}

// server returns the state of the named server and creates it if necessary.
func (s *state) server(name egretflow.ServerName) *server {
	srv := s.servers[name]
	if srv == nil {
		srv = &server{}
		s.servers[name] = srv
	}
	return srv
}

// applyAnswer updates the member that sent the answer. It ignores answers of unknown
// members, of this instance and of older incarnations.
func (s *state) applyAnswer(a Answer, now time.Time) {
	m := s.members[a.From]
	if m == nil || a.From == s.cfg.Self.Name || a.Incarnation < m.incarnation {
		return
	}
	if a.Incarnation > m.incarnation && m.reachable {
		m.reachable = false
		s.record(egretflow.EventMemberLost, m, now, "restarted")
	}
	m.incarnation = a.Incarnation
	if m.HeardAt.Before(a.At) {
		m.HeardAt = a.At
	}
	if m.reportedLeaving != a.Leaving {
		m.reportedLeaving = a.Leaving
		s.changed = true
	}
	if !m.reachable && now.Sub(m.HeardAt) < AnswerLifetime {
		m.reachable = true
		s.changed = true
		s.record(egretflow.EventMemberJoined, m, now, "answered")
	}
}

// expireMembers marks the members without a recent answer as unreachable and
// removes those that are not in the list either.
func (s *state) expireMembers(now time.Time) {
	for name, m := range s.members {
		if name == s.cfg.Self.Name {
			continue
		}
		if m.reachable && now.Sub(m.HeardAt) >= AnswerLifetime {
			m.reachable = false
			s.changed = true
			s.record(egretflow.EventMemberLost, m, now, "silent")
		}
		if !m.inList && !m.reachable {
			delete(s.members, name)
			s.changed = true
		}
	}
}

// applyList replaces the listed members and updates the servers.
func (s *state) applyList(l listResult, now time.Time) {
	if !s.listRead {
		s.listRead, s.changed = true, true
	}
	for _, m := range s.members {
		m.inList = m.Name == s.cfg.Self.Name
	}
	for _, listed := range l.members {
		if listed.Name == s.cfg.Self.Name {
			continue
		}
		m := s.members[listed.Name]
		if m == nil {
			m = &member{}
			s.members[listed.Name] = m
		}
		listed.HeardAt = m.HeardAt
		if m.Member != listed {
			m.Member = listed
			s.changed = true
		}
		m.inList = true
	}
	s.applyServers(l.servers, now)
	s.expireMembers(now)
}

// applyServers applies the states of the servers in a list, and counts a miss for
// each server that the list lacks and that has sent no load report since the last
// interval (rule 5).
func (s *state) applyServers(states map[egretflow.ServerName]egretflow.MemberState, now time.Time) {
	for name, state := range states {
		srv := s.server(name)
		srv.inList, srv.misses = true, 0
		srv.leaving = state == egretflow.MemberStateLeaving
	}
	for name, srv := range s.servers {
		if _, listed := states[name]; !listed && srv.inList && now.Sub(srv.loadAt) >= s.cfg.Interval {
			srv.misses++
		}
	}
	s.updateUnavailable()
}

// updateUnavailable passes the unavailable servers to Config.Unavailable if
// they have changed, and the first time.
func (s *state) updateUnavailable() {
	unavailable := []egretflow.ServerName{}
	for _, name := range slices.Sorted(maps.Keys(s.servers)) {
		if srv := s.servers[name]; srv.leaving || srv.draining || srv.misses >= missesUntilUnavailable {
			unavailable = append(unavailable, name)
		}
	}
	if s.unavailable == nil || !slices.Equal(unavailable, s.unavailable) {
		s.unavailable = unavailable
		s.cfg.Unavailable.SetUnavailable(unavailable)
	}
}

func (s *state) record(name egretflow.EventName, m *member, now time.Time, cause string) {
	s.cfg.Recorder.Record(egretflow.Event{
		Name:     name,
		At:       now,
		Instance: s.cfg.Self.Name,
		Fields: []egretflow.EventField{
			{Key: "member", Value: string(m.Name)},
			{Key: "incarnation", Value: strconv.FormatUint(m.incarnation, 10)},
			{Key: "cause", Value: cause},
		},
	})
}

func (s *state) view(version uint64) *View {
	v := &View{Version: version, ListRead: s.listRead, Reachable: map[egretflow.InstanceName]bool{}}
	for _, name := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[name]
		listed := m.Member
		if m.reportedLeaving {
			listed.State = egretflow.MemberStateLeaving
		}
		v.Members = append(v.Members, listed)
		if m.reachable {
			v.Reachable[name] = true
		}
	}
	return v
}
