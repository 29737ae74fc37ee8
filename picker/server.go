package picker

import (
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/estimator"
)

const (
	// loadLifetime is the age above which a load report is ignored.
	loadLifetime = 2 * time.Second
	// refusedPause is how long a server that refused work because it was full
	// is not chosen. Load reports lag by up to 1 s, so the pause does not wait
	// for one.
	refusedPause = 100 * time.Millisecond
	// defaultPrefillRate in tokens/s is used for pools whose tables give no
	// prefill rate, until one is learned.
	defaultPrefillRate = 8000
	// defaultGap is the token gap of pools whose tables give none, until one is
	// learned.
	defaultGap = 25 * time.Millisecond
	// maxReportedBacklog bounds the backlog of other instances that is
	// estimated from a lagging load report.
	maxReportedBacklog = 500 * time.Millisecond
	// prefillsBeyondGrant is the number of prefills that one instance may run
	// on a server beyond its grant (rule 7).
	prefillsBeyondGrant = 1
	// maxBacklog is the prefill work on a server above which requests wait in
	// the queue instead, where a more important one can still overtake them. It
	// is enough to keep an engine busy during a dispatch and one tick of the
	// scheduler.
	maxBacklog = 100 * time.Millisecond
)

// Server is the accounting of one backend server. Spec is replaced as a whole
// when the tables change, so assignments may keep a pointer to it.
type Server struct {
	Spec *egretflow.Server
	// Speed and Link are the straggler estimates of the engine and of its link,
	// relative to the other servers of its role.
	Speed *estimator.Server
	Link  *estimator.Server

	role egretflow.Role
	// byBlocks reports whether the capacity is counted in blocks of engine memory
	// instead of slots (rule 10). requests counts the reservations that are not
	// released, whichever unit is used.
	byBlocks    bool
	requests    int
	learned     *learnedRates
	limit       int
	expiresAt   time.Time
	unavailable bool
	draining    bool
	delisted    bool
	pausedUntil time.Time

	inUse int
	// peaks holds the most slots in use during peakSecond and during the second
	// before.
	peaks      [2]int
	peakSecond int64
	// outstanding counts the prompt tokens that this instance has placed here
	// and that are not computed yet; busyUntil is when they are expected to be
	// computed. reportedTokens estimates the tokens of other instances from
	// load reports.
	outstanding    float64
	reportedTokens float64
	busyUntil      time.Time
	// computedAt is the end of the last prefill that was observed, and idleAt that
	// of the last one that found no backlog.
	computedAt time.Time
	idleAt     time.Time
	// awaiters are the requests that wait in the queue until a slot of this server is
	// free, because it keeps the beginnings of their prompts.
	awaiters []awaiter
	// peerBacklogs lists the work that peers have reported. peerTokens is the
	// sum of its prompt tokens, and peerTokensAsOf the mean time of the
	// reports, weighted by tokens.
	peerBacklogs   []peerBacklog
	peerTokens     float64
	peerTokensAsOf time.Time
	// promptTokens counts the uncached prompt tokens of this instance in the memory
	// of the prefill server, which are being computed or wait for their transfer.
	// retainedTokens is the part that is computed, which counts as stored too.
	promptTokens   int
	retainedTokens int
	// pendingKVBytes counts KV bytes reserved on the link and not transferred
	// yet.
	pendingKVBytes int64
	// isolatedRequests counts running requests that are suspected of crashing
	// servers (5.6).
	isolatedRequests int

	// countedTotals is the part of the server in Pool.totals.
	countedTotals Totals

	load  egretflow.LoadReport
	cache cacheState
	// openIndex is the position in group.open; -1 if the server is not in it.
	openIndex int
}

// Role returns the role that the engine serves.
func (s *Server) Role() egretflow.Role { return s.role }

// InUse returns the slots, or blocks, that running attempts of this instance
// occupy.
func (s *Server) InUse() int { return s.inUse }

// Limit returns the slots, or blocks, that this instance may use at now, by
// grant or by table. It is 0 if the server takes no new work or the grant has
// expired.
func (s *Server) Limit(now time.Time) int {
	if s.blocked() || s.expired(now) || s.byBlocks && s.requests >= s.Spec.Slots {
		return 0
	}
	return s.limit
}

// LimitFor returns the slots that may be in use at now if w starts on the
// server: Limit, plus the slots of w if it may exceed the grant (rule 7).
func (s *Server) LimitFor(w *egretflow.Work, now time.Time) int {
	limit := s.Limit(now)
	if !s.mayExceedGrant(w, now) {
		return limit
	}
	if s.role == egretflow.RolePrefill {
		return limit + prefillsBeyondGrant
	}
	return limit + s.SlotsFor(w)
}

// mayExceedGrant reports whether w may start beyond the grant. A grant of no
// slots does not allow it: the server may be draining, which its owner knows
// first (I6).
func (s *Server) mayExceedGrant(w *egretflow.Work, now time.Time) bool {
	switch {
	case s.limit == 0 || s.expiresAt.IsZero() || s.expired(now) || s.blocked() || s.inUse > s.limit:
		return false
	case w.Importance == egretflow.ImportanceCritical:
		return s.role != egretflow.RoleService
	}
	return s.role == egretflow.RolePrefill && s.inUse == 0 && s.backlog(now) == 0
}

// blocked reports whether the server takes no new work, whatever is granted.
func (s *Server) blocked() bool { return s.unavailable || s.draining || s.delisted || s.Spec.Drain }

// GrantedSlots returns the slots granted at now, whether or not the server
// takes new work; 0 after the grant has expired.
func (s *Server) GrantedSlots(now time.Time) int {
	if s.expired(now) {
		return 0
	}
	return s.limit
}

// ExpiresAt returns the deadline of the grant; zero if slots do not come from
// grants.
func (s *Server) ExpiresAt() time.Time { return s.expiresAt }

func (s *Server) expired(now time.Time) bool {
	return !s.expiresAt.IsZero() && !now.Before(s.expiresAt)
}

func (s *Server) free(now time.Time) int { return s.Limit(now) - s.inUse }

// prefillRate returns the tokens/s that the server computes when nothing disturbs
// it.
func (s *Server) prefillRate() float64 {
	if s.Spec.PrefillTokensPerSecond > 0 {
		return float64(s.Spec.PrefillTokensPerSecond)
	}
	return s.learned.nominalPrefillRate() / s.Speed.Slowness()
}

// SlotsFor returns the number of slots whose shares of the engine's blocks hold
// the prompt and the output of w, at most all slots. If the capacity is counted
// in blocks, it returns the number of blocks.
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

// report applies a load report, which lags behind. Prefills above the most that
// this instance had running during the lag belong to other instances and count
// with tokensPerPrefill each.
func (s *Server) report(load *egretflow.LoadReport, tokensPerPrefill float64, now time.Time) {
	if load.MeasuredAt.Before(s.load.MeasuredAt) {
		return
	}
	s.load = *load
	s.draining = load.Draining
	s.notePeak(now)
	otherPrefills := max(0, load.Running+load.Waiting-max(s.peaks[0], s.peaks[1]))
	s.reportedTokens += (float64(otherPrefills)*tokensPerPrefill - s.reportedTokens) / 2
}

// notePeak updates the most slots in use in the current second and in the
// previous one.
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

// otherInstancesTokens returns the prompt tokens that other instances are
// expected to have on the server: those that peers reported, otherwise an
// estimate from the last load report.
func (s *Server) otherInstancesTokens(now time.Time) float64 {
	if tokens := s.peerTokensAt(now); tokens > 0 || s.loadAge(now) > loadLifetime {
		return tokens
	}
	return min(s.reportedTokens, maxReportedBacklog.Seconds()*s.prefillRate())
}

// backlog returns the seconds until the work of all instances on the server is
// expected to be computed. Work of this instance that is overdue is expected to
// take as long again as it is overdue.
func (s *Server) backlog(now time.Time) float64 {
	local := s.busyUntil.Sub(now).Seconds()
	if local < 0 {
		local = 0
		if s.outstanding > 0 {
			local = now.Sub(s.busyUntil).Seconds()
		}
	}
	return local + s.otherInstancesTokens(now)/s.prefillRate()*s.Speed.Factor()
}

// hasDeepBacklog reports whether new prefills should wait in the queue instead
// of on the server.
func (s *Server) hasDeepBacklog(now time.Time) bool {
	if s.peerTokensAt(now) > 0 && s.backlog(now) > maxBacklog.Seconds() {
		return true
	}
	return s.busyUntil.Sub(now) > maxBacklog || (s.outstanding > 0 && now.Sub(s.busyUntil) > maxBacklog)
}

// group holds the servers of one role.
type group struct {
	role egretflow.Role
	all  []*Server
	// open holds at least the servers with free slots. Others are removed when
	// a choice finds them without one.
	open  []*Server
	speed *estimator.Group
	links *estimator.Group
	// speeds is the buffer for the estimates of all servers.
	speeds []*estimator.Server
	// used counts the slots, or blocks, in use.
	used int
	// roundRobinNext is the next position for PolicyRoundRobin.
	roundRobinNext int
}

func newGroup(role egretflow.Role) *group {
	return &group{role: role, speed: estimator.NewGroup(), links: estimator.NewGroup()}
}

func (g *group) addOpen(s *Server) {
	if s.openIndex >= 0 || s.role != g.role || s.limit <= s.inUse || s.blocked() {
		return
	}
	s.openIndex = len(g.open)
	g.open = append(g.open, s)
}

func (g *group) removeOpen(s *Server) {
	if s.openIndex < 0 || s.openIndex >= len(g.open) || g.open[s.openIndex] != s {
		return
	}
	last := g.open[len(g.open)-1]
	g.open[s.openIndex], last.openIndex = last, s.openIndex
	g.open = g.open[:len(g.open)-1]
	s.openIndex = -1
}

func (g *group) swap(a, b int) {
	g.open[a], g.open[b] = g.open[b], g.open[a]
	g.open[a].openIndex, g.open[b].openIndex = a, b
}
