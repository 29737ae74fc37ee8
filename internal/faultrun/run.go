package faultrun

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/egretflow/egretflow"
)

// Options configures a run.
type Options struct {
	Seed uint64
	// Faults lists the kinds to draw from; nil means AllFaults.
	Faults        []FaultKind
	PlantedFaults PlantedFaults
	// ChecksOnly skips the recovery check and the kill measurement that follow
	// the checks of the invariants.
	ChecksOnly bool
	// Logger receives the events of the instances; nil discards them.
	Logger *logrus.Logger
}

func (o *Options) faultKinds() []FaultKind {
	if o.Faults == nil {
		return AllFaults
	}
	return o.Faults
}

// settleTimeout is how long requests and edits may take to end after the last
// fault. freeTime is how long instances and engines may take after that to free
// the resources of ended requests. Requests on silent connections take up to
// silentFreeTime: an instance notices such a caller only when the buffer is
// full and a write has timed out, and it waits 60 s for the response to a
// non-idempotent call. freePoll is the interval of these checks.
const (
	settleTimeout  = 60 * time.Second
	freeTime       = 6 * time.Second
	silentFreeTime = 65 * time.Second
	freePoll       = time.Second
)

// Run runs the plan of a seed and checks the invariants. It must be called in a
// synctest bubble, and all its goroutines have ended when it returns.
func Run(ctx context.Context, opts Options) *Report {
	report := newReport()
	p := newPlan(&opts)
	cl := newCluster(opts, p.fleet, report)
	defer cl.stop()
	if err := cl.start(ctx); err != nil {
		report.violate(harness, "start: %v", err)
		return report
	}
	stopPolling := cl.pollRevisions()
	cl.runPlan(p)
	cl.endFaults(ctx)
	stopPolling()
	cl.checkInvariants(ctx)
	if !opts.ChecksOnly {
		cl.checkRecovered()
		cl.measureKill()
	}
	return report
}

// harness is reported instead of an invariant when the run itself fails.
const harness egretflow.Invariant = "Harness"

// runPlan sends the requests and injects the faults at their times. It returns
// at the horizon.
func (cl *cluster) runPlan(p plan) {
	for n := range p.requests {
		r := &p.requests[n]
		cl.runAfter(r.at, func() { cl.send(r) })
	}
	started := time.Now()
	for _, f := range p.faults {
		time.Sleep(time.Until(started.Add(f.at)))
		cl.inject(f)
	}
	time.Sleep(time.Until(started.Add(horizon)))
}

// endFaults ends all faults, waits until requests and edits have ended,
// restarts killed instances and waits until resources are freed.
func (cl *cluster) endFaults(ctx context.Context) {
	for _, b := range cl.backends {
		b.faults.Clear()
	}
	cl.store.Faults.Clear()
	cl.list.Faults.Clear()
	ended := make(chan struct{})
	var once sync.Once
	go func() {
		cl.running.Wait()
		once.Do(func() { close(ended) })
	}()
	select {
	case <-ended:
	case <-time.After(settleTimeout):
		cl.report.violate(harness, "requests or edits did not end within %v", settleTimeout)
		<-ended
	}
	for _, i := range cl.instances {
		cl.restart(i)
	}
	if err := cl.waitReady(ctx); err != nil {
		cl.report.violate(harness, "%v", err)
	}
	time.Sleep(freeTime)
	if !cl.hasSilentConnection() {
		return
	}
	for waited := freeTime; waited < silentFreeTime && cl.slotsInUse() > 0; waited += freePoll {
		time.Sleep(freePoll)
	}
}
