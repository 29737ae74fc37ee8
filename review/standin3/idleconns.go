package main

import (
	"slices"
	"time"
)

const (
	// lossTime is how long five of the six machines are without power.
	lossTime = 50 * time.Second
	// contactTime is contact_ms of the sheet, and clientsThatTry the number of clients of
	// the rule.
	contactTime    = 3 * time.Second
	clientsThatTry = 7
)

// idleConnections plays the loss of five of six machines at once, for lossTime. Each client
// opens a new connection for its request and leaves it open when it has its answer, as the
// limits of the configuration allow it: idle_timeout_ms, 15 s, says how long the client may
// stay idle. The machine that is left must take new connections.
func idleConnections(w *world, trouble bool) bool {
	w.keepOpen = true
	w.startFleet()
	time.Sleep(3 * time.Second)
	if trouble {
		for _, i := range w.instances[1:] {
			i.lose()
		}
		w.note("five of the six machines have lost power")
	}
	lostAt := time.Now()
	time.Sleep(lossTime)
	w.endTraffic()
	return w.judgeTaken(lostAt)
}

// judgeTaken reports whether a machine that says it is ready took no new connection for
// contactTime, while clientsThatTry clients or more tried. A connection counts as taken when
// a request on it is answered in any way.
func (w *world) judgeTaken(since time.Time) bool {
	i := w.instances[0]
	var tries []*attempt
	for _, a := range w.sent {
		if a.instance == i && a.sentAt.After(since) {
			tries = append(tries, a)
		}
	}
	slices.SortFunc(tries, func(a, b *attempt) int { return a.sentAt.Compare(b.sentAt) })
	longest, most, begin := time.Duration(0), 0, time.Time{}
	for n := 0; n < len(tries); {
		end := n
		for end < len(tries) && tries[end].status == 0 {
			end++
		}
		if span := end - n; span > most && tries[end-1].sentAt.Sub(tries[n].sentAt) > longest {
			most, begin, longest = span, tries[n].sentAt, tries[end-1].sentAt.Sub(tries[n].sentAt)
		}
		n = max(end, n+1)
	}
	w.summary()
	if most == 0 {
		w.note("RECOVER: %s, ready, answered all of the %d requests that clients sent on new connections", i.name, len(tries))
		return false
	}
	w.note("RECOVER: from %.1f s on, %s, ready, took none of the %d connections that clients opened within %.1f s", w.at(begin), i.name, most, longest.Seconds())
	return longest > contactTime && most >= clientsThatTry
}
