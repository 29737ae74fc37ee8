package picker

import (
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/estimator"
)

const (
	// loadLifetime is the age at which a load report is ignored.
	loadLifetime = 2 * time.Second
	// refusedPause is how long a server that refused work as full is left
	// alone; load reports lag by up to 1 s, so the pause does not wait for one.
	refusedPause = 100 * time.Millisecond
	// defaultPrefillRate in tokens/s and defaultGap stand in for tables that
	// name none.
	defaultPrefillRate = 8000
	defaultGap         = 25 * time.Millisecond
	// maxForeign bounds the backlog that a lagging report can add.
	maxForeign = 500 * time.Millisecond
	// reservePrefills is the number of prefills that one instance may run on a
	// server beyond its grant (rule 7).
	reservePrefills = 1
	// maxBacklog is the own prefill work on a server above which requests wait
	// in the queue instead, where a more important one can still pass them. It
	// keeps an engine busy over a dispatch and a tick of the scheduler.
	maxBacklog = 100 * time.Millisecond
)

// Server is the accounting of one backend server. Spec is replaced as a whole
// when the tables change, so assignments may keep a pointer to it.
type Server struct {
	Spec *egretflow.Server
	// Speed and Link are the straggler estimates of the engine and of its link.
	Speed *estimator.Server
	Link  *estimator.Server

	role egretflow.Role
	// byBlocks says that places are counted in blocks of engine memory instead of
	// slots (rule 10). requests counts the running requests then.
	byBlocks    bool
	requests    int
	learned     *learned
	limit       int
	expiresAt   time.Time
	unavailable bool
	draining    bool
	gone        bool
	pausedUntil time.Time

	inUse int
	// peaks are the most slots in use in peakSecond and in the second before.
	peaks      [2]int
	peakSecond int64
	// outstanding counts prompt tokens placed here and not computed yet, others
	// estimates those of other instances. busyUntil is when the own ones are
	// expected to be computed.
	outstanding float64
	others      float64
	busyUntil   time.Time
	// peers lists the prefill work that peers have named, peerTokens its sum and
	// peersAt the mean time of it.
	peers      []peerBacklog
	peerTokens float64
	peersAt    time.Time
	// transfers counts KV bytes reserved here and not transferred yet.
	transfers int64
	// isolated counts running requests that are suspected of crashing servers.
	isolated int

	// counted is the part of the server in the sums of the pool.
	counted Totals

	load  egretflow.LoadReport
	cache cacheState
	// openAt is the position in group.open; -1 when not in it.
	openAt int
}

// Role returns the role that the engine serves.
func (s *Server) Role() egretflow.Role { return s.role }

// InUse returns the slots that running attempts occupy.
func (s *Server) InUse() int { return s.inUse }

// Limit returns the slots that may be used at now, by grant or by table.
func (s *Server) Limit(now time.Time) int {
	if s.blocked() || s.expired(now) || s.byBlocks && s.requests >= s.Spec.Slots {
		return 0
	}
	return max(0, s.limit-s.usedByPeers(now))
}

// Ceiling returns the slots that may be in use at now when w takes one place:
// those of the grant, and the place itself if w may exceed it (rule 7).
func (s *Server) Ceiling(w *egretflow.Work, now time.Time) int {
	limit := s.Limit(now)
	if !s.mayExceed(w, now) {
		return limit
	}
	if s.role == egretflow.RolePrefill {
		return limit + reservePrefills
	}
	return limit + s.SlotsFor(w)
}

// mayExceed reports whether w may start beyond the grant. A grant of no slots
// may mean that the server drains, which its owner knows first (I6).
func (s *Server) mayExceed(w *egretflow.Work, now time.Time) bool {
	switch {
	case s.limit == 0 || s.expiresAt.IsZero() || s.expired(now) || s.blocked() || s.inUse > s.limit:
		return false
	case w.Importance == egretflow.ImportanceCritical:
		return s.role != egretflow.RoleService
	}
	return s.role == egretflow.RolePrefill && s.inUse == 0 && s.backlog(now) == 0
}

// blocked reports whether the server takes no new work whatever is granted.
func (s *Server) blocked() bool { return s.unavailable || s.draining || s.gone || s.Spec.Drain }

// Held returns the slots that are granted at now, usable or not.
func (s *Server) Held(now time.Time) int {
	if s.expired(now) {
		return 0
	}
	return s.limit
}

// ExpiresAt returns the deadline of the grant; zero without peers.
func (s *Server) ExpiresAt() time.Time { return s.expiresAt }

func (s *Server) expired(now time.Time) bool {
	return !s.expiresAt.IsZero() && !now.Before(s.expiresAt)
}

func (s *Server) free(now time.Time) int { return s.Limit(now) - s.inUse }

func (s *Server) prefillRate() float64 {
	if s.Spec.PrefillTokensPerSecond > 0 {
		return float64(s.Spec.PrefillTokensPerSecond)
	}
	return s.learned.prefillRate
}

// SlotsFor returns the slots whose share of blocks holds prompt and output, or
// the blocks themselves when places are counted in blocks.
func (s *Server) SlotsFor(w *egretflow.Work) int {
	if s.byBlocks {
		return blocksFor(w, 0)
	}
	share := s.Spec.Blocks / s.Spec.Slots
	if share == 0 {
		return 1
	}
	blocks := (w.PromptTokens + w.MaxTokens + egretflow.BlockTokens - 1) / egretflow.BlockTokens
	return min(max(1, (blocks+share-1)/share), s.Spec.Slots)
}

// report takes a lagging load report. Prefills beyond the most that this
// instance had running during the lag are those of other instances.
func (s *Server) report(load *egretflow.LoadReport, tokensPerPrefill float64, now time.Time) {
	if load.MeasuredAt.Before(s.load.MeasuredAt) {
		return
	}
	s.load = *load
	s.draining = load.Draining
	s.notePeak(now)
	foreign := max(0, load.Running+load.Waiting-max(s.peaks[0], s.peaks[1]))
	s.others += (float64(foreign)*tokensPerPrefill - s.others) / 2
}

// notePeak keeps the most slots in use in this second and in the one before.
func (s *Server) notePeak(now time.Time) {
	switch second := now.Unix(); second {
	case s.peakSecond:
		s.peaks[0] = max(s.peaks[0], s.inUse)
	case s.peakSecond + 1:
		s.peakSecond, s.peaks[1], s.peaks[0] = second, s.peaks[0], s.inUse
	default:
		s.peakSecond, s.peaks[1], s.peaks[0] = second, s.inUse, s.inUse
	}
}

func (s *Server) loadAge(now time.Time) time.Duration { return now.Sub(s.load.MeasuredAt) }

// foreign returns the prompt tokens that other instances have placed.
func (s *Server) foreign(now time.Time) float64 {
	if tokens := s.peerTokensAt(now); tokens > 0 || s.loadAge(now) > loadLifetime {
		return tokens
	}
	return min(s.others, maxForeign.Seconds()*s.prefillRate())
}

// backlog returns the seconds until own work and that of other instances is
// computed. Work that is late is expected to take as long again as it is late.
func (s *Server) backlog(now time.Time) float64 {
	own := s.busyUntil.Sub(now).Seconds()
	if own < 0 {
		own = 0
		if s.outstanding > 0 {
			own = now.Sub(s.busyUntil).Seconds()
		}
	}
	return own + s.foreign(now)/s.prefillRate()*s.Speed.Factor()
}

// deep reports whether new prefills should wait in the queue.
func (s *Server) deep(now time.Time) bool {
	if s.peerTokensAt(now) > 0 && s.backlog(now) > maxBacklog.Seconds() {
		return true
	}
	return s.busyUntil.Sub(now) > maxBacklog || (s.outstanding > 0 && now.Sub(s.busyUntil) > maxBacklog)
}

// group holds the servers of one role.
type group struct {
	role egretflow.Role
	all  []*Server
	// open holds at least the servers with free slots; others leave it when a
	// choice meets them.
	open  []*Server
	speed *estimator.Group
	links *estimator.Group
	// used counts the slots in use.
	used int
	// next is the position of RoundRobin.
	next int
}

func newGroup(role egretflow.Role) *group {
	return &group{role: role, speed: estimator.NewGroup(), links: estimator.NewGroup()}
}

func (g *group) enter(s *Server) {
	if s.openAt >= 0 || s.role != g.role || s.limit <= s.inUse || s.blocked() {
		return
	}
	s.openAt = len(g.open)
	g.open = append(g.open, s)
}

func (g *group) leave(s *Server) {
	if s.openAt < 0 || s.openAt >= len(g.open) || g.open[s.openAt] != s {
		return
	}
	last := g.open[len(g.open)-1]
	g.open[s.openAt], last.openAt = last, s.openAt
	g.open = g.open[:len(g.open)-1]
	s.openAt = -1
}

func (g *group) swap(a, b int) {
	g.open[a], g.open[b] = g.open[b], g.open[a]
	g.open[a].openAt, g.open[b].openAt = a, b
}
