package main

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

const (
	// lostShare of the replicas of order-desk lose the answer of lostAnswers of the requests
	// that they ran, for lossPeriod.
	lostShare   = 0.5
	lostAnswers = 0.3
	lossPeriod  = 6 * time.Second
	beforeLoss  = 10 * time.Second
)

// escapedSlash adds two routes to the configuration: /desk/ is unsafe, and /desk/lookup/,
// below it, is safe. Clients send charges whose id has an escaped slash. Their path,
// /desk/lookup%2F117, begins with /desk/ and not with /desk/lookup/, so that they may run
// once at most. Replicas run requests whose answers are lost.
func escapedSlash(w *world, trouble bool) bool {
	w.extraRoutes = []map[string]any{
		routeOf("desk-charge", "/desk/", "unsafe", "order-desk", 2, 1500, 300, false),
		routeOf("desk-lookup", "/desk/lookup/", "safe", "order-desk", 2, 1500, 300, false),
	}
	kinds = append(kinds, kind{"desk-charge", http.MethodPost, "/desk/lookup%2F117", 50, false})
	w.startFleet()
	time.Sleep(beforeLoss)
	if trouble {
		w.loseAnswers(lostAnswers)
	}
	time.Sleep(lossPeriod)
	w.loseAnswers(0)
	w.endTraffic()
	return w.judgeTwice("desk-charge")
}

// loseAnswers makes half of the replicas of order-desk lose a share of their answers.
func (w *world) loseAnswers(share float64) {
	lose := int(lostShare * 4)
	for _, p := range w.replicas {
		if p.service != "order-desk" || lose == 0 {
			continue
		}
		lose--
		p.mu.Lock()
		p.lostAnswers = share
		p.mu.Unlock()
		w.note("%s: loses the answer of %.2f of the requests that it runs", p.name, share)
	}
}

// judgeTwice reports whether a request of the kind, which may run once at most, has run more
// often.
func (w *world) judgeTwice(kind string) bool {
	twice := 0
	for _, id := range slices.Sorted(maps.Keys(w.sent)) {
		a := w.sent[id]
		if a.kind != kind {
			continue
		}
		runs := 0
		var where []string
		for _, p := range w.replicas {
			if n := p.runsOf(id); n > 0 {
				runs += n
				where = append(where, p.name)
			}
		}
		if runs > 1 {
			twice++
			w.note("twice: %s %s, sent at %.3f to %s and answered %d, ran %d times, at %v", kind, id, w.at(a.sentAt), a.instance.name, a.status, runs, where)
		}
	}
	w.summary()
	w.note("TWICE: %d requests of %s ran more than once", twice, kind)
	return twice > 0
}

// changedPath sends charges whose path has an escaped slash and, with trouble, a character
// that browsers send as it is. The path that the replica gets must be the client's.
func changedPath(w *world, trouble bool) bool {
	path := "/charge/roll%2F117"
	if trouble {
		path += "|front"
	}
	kinds = []kind{{"dispatch-charge", http.MethodPost, path, 10, false}}
	w.startFleet()
	time.Sleep(5 * time.Second)
	w.endTraffic()
	w.summary()
	changed := 0
	for _, a := range w.arrivals {
		if a.target == path {
			continue
		}
		changed++
		if changed <= 10 {
			w.note("changed: request %s was sent with path %s, and %s ran it with path %s", a.id, path, a.replica.name, a.target)
		}
	}
	w.note("UNASKED: %d of %d requests ran with another path than their clients sent", changed, len(w.arrivals))
	return changed > 0
}
