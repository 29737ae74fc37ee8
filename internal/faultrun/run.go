package faultrun

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/egretflow/egretflow"
)

// Options describe a run.
type Options struct {
	Seed uint64
	// Faults are the kinds that may happen; nil means all.
	Faults  []FaultKind
	Planted Planted
	// Logger gets the events of the instances; nil writes none.
	Logger *logrus.Logger
}

func (o *Options) faultKinds() []FaultKind {
	if o.Faults == nil {
		return AllFaults
	}
	return o.Faults
}

// settleTime is the time for requests to end after the last fault. freeTime is
// the time for the instances and engines to free what is left: an instance
// notices a caller on a silent connection only when the buffer of the connection
// is full and a write has timed out, with the default limits after about 16 s.
const (
	settleTime = 60 * time.Second
	freeTime   = 20 * time.Second
)

// Run runs the fleet of a seed. It must be called in a synctest bubble, and all
// its goroutines have ended when it returns.
func Run(ctx context.Context, opts Options) *Report {
	report := newReport()
	p := newPlan(&opts)
	w := newWorld(opts, p.fleet, report)
	defer w.stop()
	if err := w.start(ctx); err != nil {
		report.violate(harness, "start: %v", err)
		return report
	}
	stopPolling := w.pollRevisions()
	w.play(p)
	w.recover(ctx)
	stopPolling()
	w.check(ctx)
	w.checkRecovered()
	w.measureDeath()
	return report
}

// harness stands in reports for a failure of the run itself.
const harness egretflow.Invariant = "Harness"

// play sends the requests and injects the faults at their times.
func (w *world) play(p plan) {
	for n := range p.requests {
		r := &p.requests[n]
		w.later(r.at, func() { w.send(r) })
	}
	started := time.Now()
	for _, f := range p.faults {
		time.Sleep(time.Until(started.Add(f.at)))
		w.inject(f)
	}
	time.Sleep(time.Until(started.Add(horizon)))
}

// recover ends all faults and waits until requests, edits and restarts have
// ended.
func (w *world) recover(ctx context.Context) {
	for _, b := range w.backends {
		b.faults.Clear()
	}
	w.store.Faults.Clear()
	w.list.Faults.Clear()
	ended := make(chan struct{})
	var once sync.Once
	go func() {
		w.running.Wait()
		once.Do(func() { close(ended) })
	}()
	select {
	case <-ended:
	case <-time.After(settleTime):
		w.report.violate(harness, "requests or edits did not end within %v", settleTime)
		<-ended
	}
	for _, i := range w.instances {
		w.restart(i)
	}
	if err := w.waitReady(ctx); err != nil {
		w.report.violate(harness, "%v", err)
	}
	time.Sleep(freeTime)
}
