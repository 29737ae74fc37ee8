package faultrun

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/fault"
)

// FaultKind names what can happen to the fleet.
type FaultKind string

// The kinds of faults.
const (
	FaultKill           FaultKind = "Kill"
	FaultShutdown       FaultKind = "Shutdown"
	FaultPause          FaultKind = "Pause"
	FaultCut            FaultKind = "Cut"
	FaultSilence        FaultKind = "Silence"
	FaultPartition      FaultKind = "Partition"
	FaultStoreOutage    FaultKind = "StoreOutage"
	FaultStoreSlow      FaultKind = "StoreSlow"
	FaultStoreStall     FaultKind = "StoreStall"
	FaultStoreLost      FaultKind = "StoreLostAnswers"
	FaultListOutage     FaultKind = "ListOutage"
	FaultBackendStall   FaultKind = "BackendStall"
	FaultBackendSlow    FaultKind = "BackendSlow"
	FaultBackendCrash   FaultKind = "BackendCrash"
	FaultBackendOutage  FaultKind = "BackendOutage"
	FaultBackendLost    FaultKind = "BackendLostAnswers"
	FaultBackendSilence FaultKind = "BackendSilence"
	FaultBackendCut     FaultKind = "BackendCut"
	FaultTransfer       FaultKind = "StalledTransfer"
	FaultLeave          FaultKind = "Leave"
	FaultDrain          FaultKind = "Drain"
	FaultEdits          FaultKind = "RacingEdits"
)

// AllFaults lists all kinds of faults. Those that end or separate processes come
// more often.
var AllFaults = []FaultKind{
	FaultKill, FaultKill, FaultKill, FaultShutdown, FaultShutdown, FaultPause, FaultCut, FaultSilence, FaultPartition, FaultStoreOutage, FaultStoreSlow,
	FaultStoreStall, FaultStoreLost, FaultListOutage, FaultBackendStall, FaultBackendSlow, FaultBackendCrash,
	FaultBackendOutage, FaultBackendLost, FaultBackendSilence, FaultBackendCut, FaultTransfer, FaultLeave, FaultDrain, FaultEdits,
}

// plannedFault is one fault. Targets beyond the size of the fleet wrap around.
type plannedFault struct {
	at   time.Duration
	kind FaultKind
	// target and other number the instances or backends that are hit.
	target, other int
	length        time.Duration
	// factor slows down, count bounds the calls that are hit.
	factor float64
	count  int
}

// String describes the fault for reports.
func (f plannedFault) String() string {
	return fmt.Sprintf("%v %s target %d other %d length %v factor %.1f count %d", f.at, f.kind, f.target, f.other, f.length, f.factor, f.count)
}

func drawFault(rng *rand.Rand, fleet *fleetPlan, kinds []FaultKind) plannedFault {
	f := plannedFault{
		kind: kinds[rng.IntN(len(kinds))], target: rng.IntN(60), other: rng.IntN(60),
		length: between(rng, 200*time.Millisecond, 6*time.Second),
		factor: 2 + 8*rng.Float64(), count: 1 + rng.IntN(4),
	}
	if f.kind == FaultLeave || f.kind == FaultDrain {
		f.length += leaveLimit
	}
	f.at = between(rng, 0, horizon-f.length)
	return f
}

// inject lets a fault happen and schedules its end.
func (w *world) inject(f plannedFault) {
	w.report.Faults = append(w.report.Faults, f.String())
	i := w.instances[f.target%len(w.instances)]
	b := w.backends[f.target%len(w.backends)]
	switch f.kind {
	case FaultKill, FaultShutdown, FaultPause, FaultCut, FaultSilence, FaultPartition:
		w.injectInstance(f, i)
	case FaultStoreOutage:
		w.store.Faults.Add(f.until(fault.Outage))
	case FaultStoreSlow:
		w.store.Faults.Add(f.until(fault.Slow))
	case FaultStoreStall:
		w.store.Faults.Add(f.until(fault.Stall))
	case FaultStoreLost:
		w.store.Faults.Add(f.until(fault.LostAnswer))
	case FaultListOutage:
		w.list.Faults.Add(f.until(fault.Outage))
	case FaultLeave, FaultDrain:
		w.injectLeave(f, b)
	case FaultEdits:
		w.raceEdits(f)
	default:
		w.injectBackend(f, b)
	}
}

// until is the fault of a stand-in for the length of f.
func (f plannedFault) until(kind fault.Kind) fault.Fault {
	set := fault.Fault{Kind: kind, Until: time.Now().Add(f.length)}
	switch kind {
	case fault.Slow:
		set.Factor = f.factor
	case fault.LostAnswer:
		set.Count = f.count
	}
	return set
}

// later runs f after d; the end of the run waits for it.
func (w *world) later(d time.Duration, f func()) {
	w.running.Add(1)
	time.AfterFunc(d, func() {
		defer w.running.Done()
		f()
	})
}

func (w *world) injectInstance(f plannedFault, i *instance) {
	switch f.kind {
	case FaultKill:
		i.kill()
		w.later(f.length, func() { w.restart(i) })
	case FaultShutdown:
		w.later(0, func() {
			i.shutDown()
			time.Sleep(f.length)
			w.restart(i)
		})
	case FaultPause:
		// What was sent before the end of the pause arrives after it.
		i.disturbUntil(time.Now().Add(2 * f.length))
		w.delayHost(i, f.length/4)
		w.later(f.length, func() { w.delayHost(i, 0) })
	case FaultCut:
		i.disturb()
		w.network.Cut(i.host)
		w.network.Restore(i.host)
	case FaultSilence:
		i.disturb()
		w.network.Silence(i.host)
	case FaultPartition:
		other := w.instances[f.other%len(w.instances)]
		if other == i {
			return
		}
		w.network.Partition(i.host, other.host)
		w.later(f.length, func() { w.network.Heal(i.host, other.host) })
	}
}

func (w *world) restart(i *instance) {
	if err := i.start(); err != nil {
		w.report.violate(harness, "restart %s: %v", i.name(), err)
	}
}

// delayHost delays everything that an instance sends and receives.
func (w *world) delayHost(i *instance, extra time.Duration) {
	for _, other := range append(w.hosts, host(hostCaller, 0)) {
		w.network.SetDelay(i.host, other, oneWay+extra)
		w.network.SetDelay(other, i.host, oneWay+extra)
	}
}

func (w *world) injectBackend(f plannedFault, b *backend) {
	address := b.server.Address.Addr()
	w.disturbBackends(f.length)
	switch f.kind {
	case FaultBackendStall:
		b.faults.Add(f.until(fault.Stall))
	case FaultBackendSlow:
		b.faults.Add(f.until(fault.Slow))
	case FaultBackendCrash:
		b.faults.Add(f.until(fault.Crash))
	case FaultBackendOutage:
		b.faults.Add(f.until(fault.Outage))
	case FaultBackendLost:
		b.faults.Add(f.until(fault.LostAnswer))
	case FaultBackendSilence:
		w.network.Silence(address)
	case FaultBackendCut:
		w.network.Cut(address)
		w.later(f.length, func() { w.network.Restore(address) })
	case FaultTransfer:
		other := w.backends[f.other%len(w.backends)].server.Address.Addr()
		if other == address {
			return
		}
		w.network.Partition(address, other)
		w.later(f.length, func() { w.network.Heal(address, other) })
	}
}

// disturbBackends notes that answers of backend servers may break until d has
// passed.
func (w *world) disturbBackends(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until := time.Now().Add(d + backendRecovery); until.After(w.backendsDisturbed) {
		w.backendsDisturbed = until
	}
}

// backendRecovery is how long a fault of a backend server is felt after its end.
const backendRecovery = 10 * time.Second

func (w *world) backendsDisturbedSince(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.backendsDisturbed.After(t)
}

// injectLeave lets a backend server leave for a while.
func (w *world) injectLeave(f plannedFault, b *backend) {
	from := time.Now()
	switch {
	case f.kind == FaultDrain && b.engine != nil:
		b.engine.SetDraining(true)
		w.later(f.length, func() { b.engine.SetDraining(false) })
	case !w.opts.Planted.HideLeaving:
		w.listBackend(b, egretflow.MemberStateLeaving)
		w.later(f.length, func() { w.listBackend(b, egretflow.MemberStateLive) })
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaves = append(w.leaves, leave{server: b.server.Name, from: from, to: from.Add(f.length)})
}

// leave is the time in which a backend server was leaving.
type leave struct {
	server   egretflow.ServerName
	from, to time.Time
}
