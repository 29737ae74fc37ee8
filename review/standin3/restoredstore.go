package main

import (
	"fmt"
	"net/http"
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
	// stormChanges configurations come, one each stormGap, after the copy is taken.
	stormChanges = 24
	stormGap     = 80 * time.Millisecond
	// calmTime is how long the store is without disruption before replicas leave. It is
	// longer than contact_ms, so that all machines are in touch.
	calmTime = 3400 * time.Millisecond
	// startTime is how long new replicas have to register before the configuration with their
	// route comes, and applyTime is config_apply_ms.
	startTime = 1500 * time.Millisecond
	applyTime = 2000 * time.Millisecond
	// addedTime is how long requests on the added route count.
	addedTime = 8 * time.Second
	// longer is how much longer than drain_ms replicas that leave go on serving.
	longer = time.Second
	// releaseGap is the time between two steps of the release, settled the time after it.
	releaseGap = time.Second
	settled    = 8 * time.Second
)

// restoredStore plays the drill in which the store comes back from an older copy. When it is
// stable again, the operator adds a route to a new service, whose replicas have registered.
// The machines must serve it like the first routes. Then the replicas of order-desk are
// replaced one after the other, as planned work.
func restoredStore(w *world, trouble bool) bool {
	w.startFleet()
	time.Sleep(8 * time.Second)
	w.store.copyNow()
	copiedAt := time.Now()
	w.note("the copy of the store is taken at revision %d", w.store.revision())
	w.storm()
	time.Sleep(time.Until(copiedAt.Add(copyAge - awayTime)))
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
	from := w.addService()
	time.Sleep(addedTime)
	to := time.Now()
	acknowledged := w.releaseDesk()
	released := time.Now()
	time.Sleep(settled)
	w.endTraffic()
	w.judgeDrain(acknowledged)
	w.noteServed(released.Add(settled / 2))
	return w.judgeAdded(from, to)
}

// addService starts two replicas of a new service and, when they have registered, writes a
// configuration with a route to it. It returns when the configuration has to be in force.
func (w *world) addService() time.Time {
	for n := range 2 {
		w.startReplica(fmt.Sprintf("i-print-%d", n+1), "print-desk", sixInstances[2*n], "")
	}
	time.Sleep(startTime)
	routes, _ := w.config["routes"].([]map[string]any)
	services, _ := w.config["services"].([]map[string]any)
	w.config["version"] = 8 + stormChanges
	w.config["routes"] = append(slices.Clone(routes), routeOf("print-lookup", "/print/", "safe", "print-desk", 2, 1500, 300, false))
	w.config["services"] = append(slices.Clone(services), map[string]any{"name": "print-desk", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false})
	w.writeConfig()
	w.note("the store has acknowledged the route to print-desk; it is at revision %d", w.store.revision())
	time.Sleep(applyTime)
	w.startClients(kind{"print-lookup", http.MethodGet, "/print/a", 8, false})
	return time.Now()
}

// releaseDesk replaces the replicas of order-desk and returns when each was acknowledged as
// draining.
func (w *world) releaseDesk() map[*replica]time.Time {
	acknowledged := map[*replica]time.Time{}
	for n, p := range w.allReplicas()[18:22] {
		w.startReplica(fmt.Sprintf("i-desk-new-%d", n+1), p.service, p.zone, "")
		time.Sleep(releaseGap)
		acknowledged[p] = p.leave(longer)
	}
	time.Sleep(drainTime + longer)
	w.note("all replicas of order-desk are replaced; the store is at revision %d", w.store.revision())
	return acknowledged
}

// judgeAdded reports whether requests on the route that was added later are served less than
// a quarter as often as those on the first routes, of those sent between two times.
func (w *world) judgeAdded(from, to time.Time) bool {
	var sent, served [2]int
	for _, a := range w.sent {
		if a.sentAt.Before(from) || a.sentAt.After(to) {
			continue
		}
		added := 0
		if a.kind == "print-lookup" {
			added = 1
		}
		sent[added]++
		if a.status == http.StatusOK && a.complete {
			served[added]++
		}
	}
	w.note("CONFIG: from %.1f s to %.1f s, %d of %d requests on the first routes were served, and %d of %d on the added one",
		w.at(from), w.at(to), served[0], sent[0], served[1], sent[1])
	first, later := float64(served[0])/float64(max(1, sent[0])), float64(served[1])/float64(max(1, sent[1]))
	return sent[1] >= addedRequests && later < first/4
}

// addedRequests is the number of requests from which on the rule counts.
const addedRequests = 20

// storm writes configurations in quick succession. They change the timeout of one route.
func (w *world) storm() {
	for n := range stormChanges {
		w.changeTimeout(8 + n)
		time.Sleep(stormGap)
	}
}

// changeTimeout writes a configuration with another timeout of one route.
func (w *world) changeTimeout(version int) {
	w.config["version"] = version
	routes, _ := w.config["routes"].([]map[string]any)
	routes[3]["timeout_ms"] = 1500 + version%2
	w.writeConfig()
}

// noteServed notes how the calls of order-desk that were sent later than since ended.
func (w *world) noteServed(since time.Time) {
	sent, served := 0, 0
	for _, a := range w.sent {
		if a.sentAt.Before(since) || a.kind != "dispatch-charge" && a.kind != "order-lookup" {
			continue
		}
		sent++
		if a.status == 200 {
			served++
		}
	}
	w.note("of %d attempts of calls that were sent later than %.1f s, %d were served", sent, w.at(since), served)
}

// judgeDrain notes the requests that have reached a replica later than drain_ms after the
// store has acknowledged that it leaves.
func (w *world) judgeDrain(acknowledged map[*replica]time.Time) {
	late := 0
	for _, a := range slices.Clone(w.arrivals) {
		since, leaving := acknowledged[a.replica]
		if !leaving || a.at.Sub(since) <= drainTime {
			continue
		}
		late++
		s := w.sent[a.id]
		w.note("late: request %s (%s) reached %s %.2f s after the acknowledgement; its client sent it to %s %.2f s after the acknowledgement; answered %d",
			a.id, s.kind, a.replica.name, a.at.Sub(since).Seconds(), s.instance.name, s.sentAt.Sub(since).Seconds(), s.status)
	}
	w.summary()
	w.note("%d requests reached leaving replicas later than drain_ms", late)
}
