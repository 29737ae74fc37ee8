package faultrun

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/fault"
)

// FaultKind is a kind of fault that a run injects.
type FaultKind string

// Kinds of faults. They last for the duration of the fault unless stated
// otherwise.
const (
	// FaultKill ends the process of an instance without a graceful shutdown and
	// starts a new one after the duration.
	FaultKill FaultKind = "Kill"
	// FaultShutdown shuts an instance down gracefully and starts a new process
	// after the duration.
	FaultShutdown FaultKind = "Shutdown"
	// FaultPause delays everything that an instance sends and receives.
	FaultPause FaultKind = "Pause"
	// FaultCut resets the open connections of an instance.
	FaultCut FaultKind = "Cut"
	// FaultSilence permanently stops the open connections of an instance from
	// delivering data.
	FaultSilence FaultKind = "Silence"
	// FaultPartition separates two instances from each other.
	FaultPartition FaultKind = "Partition"
	// FaultStoreOutage makes the store abort all connections that send a
	// request.
	FaultStoreOutage FaultKind = "StoreOutage"
	// FaultStoreSlow multiplies the time that the store takes.
	FaultStoreSlow FaultKind = "StoreSlow"
	// FaultStoreStall stops all work of the store.
	FaultStoreStall FaultKind = "StoreStall"
	// FaultStoreLostAnswers makes the store handle some calls without answering
	// them.
	FaultStoreLostAnswers FaultKind = "StoreLostAnswers"
	// FaultListOutage makes the platform's list abort all connections that send
	// a request.
	FaultListOutage FaultKind = "ListOutage"
	// FaultBackendStall stops all work of a backend server.
	FaultBackendStall FaultKind = "BackendStall"
	// FaultBackendSlow multiplies the time that a backend server takes.
	FaultBackendSlow FaultKind = "BackendSlow"
	// FaultBackendCrash crashes a backend server.
	FaultBackendCrash FaultKind = "BackendCrash"
	// FaultBackendOutage makes a backend server abort all connections that send
	// a request.
	FaultBackendOutage FaultKind = "BackendOutage"
	// FaultBackendLostAnswers makes a backend server handle some calls without
	// answering them.
	FaultBackendLostAnswers FaultKind = "BackendLostAnswers"
	// FaultBackendSilence permanently stops the open connections of a backend
	// server from delivering data.
	FaultBackendSilence FaultKind = "BackendSilence"
	// FaultBackendCut resets the open connections of a backend server and
	// refuses new ones.
	FaultBackendCut FaultKind = "BackendCut"
	// FaultStalledTransfer separates two backend servers from each other, which
	// stalls transfers between them.
	FaultStalledTransfer FaultKind = "StalledTransfer"
	// FaultLeave makes the platform's list report a backend server as leaving.
	FaultLeave FaultKind = "Leave"
	// FaultDrain makes an engine report that it is draining. For a service it
	// is the same as FaultLeave.
	FaultDrain FaultKind = "Drain"
	// FaultRacingEdits lets several operators edit the tables at the same time.
	FaultRacingEdits FaultKind = "RacingEdits"
)

// AllFaults lists the kinds of faults that are drawn by default. Kill and
// Shutdown are listed several times, so that they are drawn more often.
var AllFaults = []FaultKind{
	FaultKill, FaultKill, FaultKill, FaultShutdown, FaultShutdown, FaultPause, FaultCut, FaultSilence, FaultPartition, FaultStoreOutage, FaultStoreSlow,
	FaultStoreStall, FaultStoreLostAnswers, FaultListOutage, FaultBackendStall, FaultBackendSlow, FaultBackendCrash,
	FaultBackendOutage, FaultBackendLostAnswers, FaultBackendSilence, FaultBackendCut, FaultStalledTransfer, FaultLeave, FaultDrain, FaultRacingEdits,
}

// plannedFault is one fault of a plan. Targets beyond the size of the fleet
// wrap around.
type plannedFault struct {
	at   time.Duration
	kind FaultKind
	// target and secondTarget are indexes of instances or backend servers,
	// depending on the kind.
	target, secondTarget int
	duration             time.Duration
	// factor is the slowdown of Slow faults; count is the number of calls that
	// StoreLostAnswers and BackendLostAnswers faults hit, or of additional
	// operators that edit the tables.
	factor float64
	count  int
}

// String describes the fault for reports.
func (f plannedFault) String() string {
	return fmt.Sprintf("%v %s target %d other %d length %v factor %.1f count %d", f.at, f.kind, f.target, f.secondTarget, f.duration, f.factor, f.count)
}

func drawFault(rng *rand.Rand, fleet *fleetPlan, kinds []FaultKind) plannedFault {
	f := plannedFault{
		kind: kinds[rng.IntN(len(kinds))], target: rng.IntN(60), secondTarget: rng.IntN(60),
		duration: between(rng, 200*time.Millisecond, 6*time.Second),
		factor:   2 + 8*rng.Float64(), count: 1 + rng.IntN(4),
	}
	if f.kind == FaultLeave || f.kind == FaultDrain {
		f.duration += leaveNoticeLimit
	}
	f.at = between(rng, 0, horizon-f.duration)
	return f
}

// inject injects a fault and schedules its end.
func (cl *cluster) inject(f plannedFault) {
	cl.report.Faults = append(cl.report.Faults, f.String())
	i := cl.instances[f.target%len(cl.instances)]
	b := cl.backends[f.target%len(cl.backends)]
	switch f.kind {
	case FaultKill, FaultShutdown, FaultPause, FaultCut, FaultSilence, FaultPartition:
		cl.injectInstance(f, i)
	case FaultStoreOutage:
		cl.store.Faults.Add(f.standInFault(fault.Outage))
	case FaultStoreSlow:
		cl.store.Faults.Add(f.standInFault(fault.Slow))
	case FaultStoreStall:
		cl.store.Faults.Add(f.standInFault(fault.Stall))
	case FaultStoreLostAnswers:
		cl.store.Faults.Add(f.standInFault(fault.LostAnswer))
	case FaultListOutage:
		cl.list.Faults.Add(f.standInFault(fault.Outage))
		cl.exemptLeaves("", f.duration)
	case FaultLeave, FaultDrain:
		cl.injectLeave(f, b)
	case FaultRacingEdits:
		cl.startConcurrentEdits(f)
	default:
		cl.injectBackend(f, b)
	}
}

// standInFault returns the fault to set on a stand-in. It ends after the
// duration of f.
func (f plannedFault) standInFault(kind fault.Kind) fault.Fault {
	set := fault.Fault{Kind: kind, Until: time.Now().Add(f.duration)}
	switch kind {
	case fault.Slow:
		set.Factor = f.factor
	case fault.LostAnswer:
		set.Count = f.count
	}
	return set
}

// runAfter runs f after d in its own goroutine. The end of the run waits for
// it.
func (cl *cluster) runAfter(d time.Duration, f func()) {
	cl.running.Add(1)
	time.AfterFunc(d, func() {
		defer cl.running.Done()
		f()
	})
}

func (cl *cluster) injectInstance(f plannedFault, i *instance) {
	switch f.kind {
	case FaultKill:
		i.kill()
		cl.runAfter(f.duration, func() { cl.restart(i) })
	case FaultShutdown:
		cl.runAfter(0, func() {
			i.shutDown()
			time.Sleep(f.duration)
			cl.restart(i)
		})
	case FaultPause:
		// Data sent before the end of the pause arrives after it, so the effects are
		// taken to last twice as long.
		i.recordConnectionFaultUntil(time.Now().Add(2 * f.duration))
		cl.exemptLeaves("", 2*f.duration)
		cl.delayHost(i, f.duration/4)
		cl.runAfter(f.duration, func() { cl.delayHost(i, 0) })
	case FaultCut:
		i.recordConnectionFault()
		cl.network.Cut(i.host)
		cl.network.Restore(i.host)
	case FaultSilence:
		i.recordConnectionFault()
		cl.recordSilentConnection()
		cl.network.Silence(i.host)
	case FaultPartition:
		other := cl.instances[f.secondTarget%len(cl.instances)]
		if other == i {
			return
		}
		cl.network.Partition(i.host, other.host)
		cl.runAfter(f.duration, func() { cl.network.Heal(i.host, other.host) })
	}
}

func (cl *cluster) restart(i *instance) {
	if err := i.start(); err != nil {
		cl.report.violate(harness, "restart %s: %v", i.name(), err)
	}
}

// delayHost adds extra to the network delay of everything that an instance
// sends and receives; 0 restores the normal delay.
func (cl *cluster) delayHost(i *instance, extra time.Duration) {
	for _, other := range append(cl.hosts, host(hostCaller, 0)) {
		cl.network.SetDelay(i.host, other, networkDelay+extra)
		cl.network.SetDelay(other, i.host, networkDelay+extra)
	}
}

func (cl *cluster) injectBackend(f plannedFault, b *backend) {
	address := b.server.Address.Addr()
	cl.recordBackendFault(f.duration)
	switch f.kind {
	case FaultBackendCrash, FaultBackendOutage, FaultBackendCut:
		// A server that does not respond cannot report that it is draining.
		cl.exemptLeaves(b.server.Name, f.duration)
	}
	switch f.kind {
	case FaultBackendStall:
		b.faults.Add(f.standInFault(fault.Stall))
	case FaultBackendSlow:
		b.faults.Add(f.standInFault(fault.Slow))
	case FaultBackendCrash:
		b.faults.Add(f.standInFault(fault.Crash))
	case FaultBackendOutage:
		b.faults.Add(f.standInFault(fault.Outage))
	case FaultBackendLostAnswers:
		b.faults.Add(f.standInFault(fault.LostAnswer))
	case FaultBackendSilence:
		cl.recordSilentConnection()
		cl.network.Silence(address)
	case FaultBackendCut:
		cl.network.Cut(address)
		cl.runAfter(f.duration, func() { cl.network.Restore(address) })
	case FaultStalledTransfer:
		other := cl.backends[f.secondTarget%len(cl.backends)].server.Address.Addr()
		if other == address {
			return
		}
		cl.network.Partition(address, other)
		cl.runAfter(f.duration, func() { cl.network.Heal(address, other) })
	}
}

// recordBackendFault records that responses of backend servers may break during
// d and the recovery that follows.
func (cl *cluster) recordBackendFault(d time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if until := time.Now().Add(d + backendRecovery); until.After(cl.backendFaultsUntil) {
		cl.backendFaultsUntil = until
	}
}

// backendRecovery is how long after its end a fault of a backend server still
// affects requests.
const backendRecovery = 10 * time.Second

func (cl *cluster) backendFaultSince(t time.Time) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.backendFaultsUntil.After(t)
}

// injectLeave makes a backend server leave for the duration of the fault: an
// engine drains for FaultDrain, otherwise the list reports the server as
// leaving.
func (cl *cluster) injectLeave(f plannedFault, b *backend) {
	from := time.Now()
	if cl.isLeaving(b.server.Name, from) {
		return
	}
	switch {
	case f.kind == FaultDrain && b.engine != nil:
		b.engine.SetDraining(true)
		cl.runAfter(f.duration, func() { b.engine.SetDraining(false) })
	case !cl.opts.PlantedFaults.HideLeaving:
		cl.listBackend(b, egretflow.MemberStateLeaving)
		cl.runAfter(f.duration, func() { cl.listBackend(b, egretflow.MemberStateLive) })
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.leaves = append(cl.leaves, leave{server: b.server.Name, from: from, to: from.Add(f.duration)})
}

// isLeaving reports whether a leave of the server has not ended at the given
// time.
func (cl *cluster) isLeaving(server egretflow.ServerName, at time.Time) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return slices.ContainsFunc(cl.leaves, func(l leave) bool { return l.server == server && !at.After(l.to) })
}

// recordSilentConnection records that some connections have stopped delivering
// data.
func (cl *cluster) recordSilentConnection() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.silentConnection = true
}

func (cl *cluster) hasSilentConnection() bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.silentConnection
}

// leaveExemption is a period in which checkLeaves accepts new work on a leaving
// server: an instance may be unable to learn that the server leaves, or work
// that it sent earlier arrives late.
type leaveExemption struct {
	// server is empty if the period applies to all servers.
	server   egretflow.ServerName
	from, to time.Time
}

// exemptLeaves exempts a server, or all servers if server is empty, from
// checkLeaves for d from now on.
func (cl *cluster) exemptLeaves(server egretflow.ServerName, d time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	now := time.Now()
	cl.leaveExemptions = append(cl.leaveExemptions, leaveExemption{server, now, now.Add(d)})
}

// leave is a period in which a backend server was leaving.
type leave struct {
	server   egretflow.ServerName
	from, to time.Time
}
