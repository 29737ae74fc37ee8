package main

import (
	"fmt"
	"slices"
	"time"
)

// The zones of the six instances of kpp-egret.
var sixInstances = []string{"moshi-lab", "moshi-lab", "arusha-depot", "arusha-depot", "moshi-annex", "tanga-office"}

// startFleet starts the replicas and instances of kpp-egret and its traffic.
func (w *world) startFleet() {
	w.configure()
	zones := []string{"moshi-lab", "arusha-depot", "moshi-annex", "tanga-office"}
	for n := range 18 {
		stage := "decode"
		if n%3 == 0 {
			stage = "prefill"
		}
		w.startReplica(fmt.Sprintf("i-writer-%02d", n+1), "letter-writers", zones[n%4], stage)
	}
	for n := range 4 {
		w.startReplica(fmt.Sprintf("i-desk-%d", n+1), "order-desk", zones[n], "")
	}
	time.Sleep(100 * time.Millisecond)
	w.startInstances(sixInstances)
	w.startTraffic()
}

const (
	// copyAge is how old the copy is when the store comes back from it, awayTime how long
	// the store is away before.
	copyAge  = 10 * time.Second
	awayTime = 800 * time.Millisecond
	// calmTime is how long the store is without disruption before the replicas leave. It is
	// longer than contact_ms, so that all machines are in touch.
	calmTime = 3400 * time.Millisecond
	// longer is how much longer than drain_ms the replicas that leave go on serving.
	longer = 4000 * time.Millisecond
)

// restoredStore plays the drill in which the store comes back from an older copy. When it is
// stable again, three engines are emptied and taken away, as planned work does. No request
// may reach them later than drain_ms after the store has acknowledged that.
func restoredStore(w *world, trouble bool) bool {
	w.startFleet()
	time.Sleep(8 * time.Second)
	w.store.copyNow()
	w.note("the copy of the store is taken at revision %d", w.store.revision())
	time.Sleep(copyAge - awayTime)
	if trouble {
		w.store.goAway()
		w.note("the store is away")
	}
	time.Sleep(awayTime)
	if trouble {
		before, after, age := w.store.comeBack(true)
		w.note("the store comes back from a copy %.1f s old: revision %d instead of %d", age.Seconds(), after, before)
		w.writeConfig()
	}
	time.Sleep(calmTime)
	acknowledged := map[*replica]time.Time{}
	for _, n := range []int{0, 1, 2} {
		p := w.replicas[n]
		acknowledged[p] = p.leave(longer)
	}
	time.Sleep(drainTime + longer + 2*time.Second)
	w.endTraffic()
	return w.judgeDrain(acknowledged)
}

// judgeDrain reports whether a request has reached a replica later than drain_ms after the
// store has acknowledged that it leaves.
func (w *world) judgeDrain(acknowledged map[*replica]time.Time) bool {
	late, lateSent, cut := 0, 0, 0
	for _, a := range slices.Clone(w.arrivals) {
		since, leaving := acknowledged[a.replica]
		if !leaving || a.at.Sub(since) <= drainTime {
			continue
		}
		late++
		s := w.sent[a.id]
		after := s.sentAt.Sub(since)
		if after > drainTime {
			lateSent++
		}
		w.note("late: request %s (%s) reached %s %.2f s after the acknowledgement; its client sent it to %s %.2f s after the acknowledgement; answered %d, complete %v",
			a.id, s.kind, a.replica.name, a.at.Sub(since).Seconds(), s.instance.name, after.Seconds(), s.status, s.complete)
		if s.status == 0 || s.status >= 500 && s.status != 503 || !s.complete {
			cut++
		}
	}
	w.summary()
	w.note("DRAIN: %d requests reached leaving replicas later than drain_ms; %d of them were sent by their clients later than that; %d were lost", late, lateSent, cut)
	return late > 0
}
