package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// slowFactor is how many times as long the store's answers take, for slowTime from the
	// start of the machines on.
	slowFactor = 60
	slowTime   = 4500 * time.Millisecond
	// settleTime is how long the machines have after that, before the requests that crash
	// replicas begin, and crashTime how long these come.
	settleTime = 12 * time.Second
	crashTime  = 60 * time.Second
	crashGap   = 2 * time.Second
	// downTime is how long a replica that has crashed is away.
	downTime = 3 * time.Second
	// crashPath is the path of the request that crashes replicas.
	crashPath = "/lookup/117"
	// maxRetries is the number of retries that may reach replicas.
	maxRetries = 3
)

// slowStart plays a start of the machines while the store is slow. Later a call comes again
// and again that crashes each replica which begins to run it, at any machine.
func slowStart(w *world, trouble bool) bool {
	if trouble {
		w.store.setAnswerTime(slowFactor * answerTime)
		time.AfterFunc(slowTime, func() {
			w.store.setAnswerTime(answerTime)
			w.note("the store is fast again")
		})
	}
	w.startFleet()
	time.Sleep(settleTime)
	w.crashPath = crashPath
	begin := time.Now()
	for n := 0; time.Since(begin) < crashTime; n++ {
		go w.send(kind{"crash-lookup", http.MethodGet, crashPath, 0, false}, w.instances[n%len(w.instances)])
		time.Sleep(crashGap)
	}
	w.endTraffic()
	w.summary()
	return w.judgeCrashes()
}

// crash ends the replica like a process that dies, and starts another one after downTime.
func (p *replica) crash() {
	p.mu.Lock()
	if p.gone {
		p.mu.Unlock()
		return
	}
	p.gone = true
	running := p.running
	p.mu.Unlock()
	close(p.stopBeats)
	_ = p.server.Close()
	w := p.w
	w.note("%s: crashes, with %d requests at work", p.name, running)
	w.mu.Lock()
	w.crashes = append(w.crashes, time.Now())
	n := len(w.crashes)
	w.mu.Unlock()
	time.AfterFunc(3*beatEvery, func() { w.store.remove("servers/" + p.name) })
	time.AfterFunc(downTime, func() { w.startReplica(fmt.Sprintf("i-desk-again-%d", n), p.service, p.zone, p.stage) })
}

// judgeCrashes reports whether the request has reached replicas in more than maxRetries
// retries later than contactTime after it has crashed the third.
func (w *world) judgeCrashes() bool {
	w.mu.Lock()
	crashes, arrivals := slices.Clone(w.crashes), slices.Clone(w.arrivals)
	w.mu.Unlock()
	late := 0
	for _, a := range arrivals {
		if !strings.HasPrefix(a.target, crashPath) || len(crashes) < 3 || a.at.Sub(crashes[2]) <= contactTime {
			continue
		}
		late++
		w.note("late: %s reached %s %.1f s after the third crash, from %s", a.id, a.replica.name, a.at.Sub(crashes[2]).Seconds(), w.sent[a.id].instance.name)
	}
	w.note("BUDGET: %d replicas crashed; %d retries reached replicas later than contact_ms after the third crash", len(crashes), late)
	return late > maxRetries
}
