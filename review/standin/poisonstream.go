package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const poisonStreamPath = "/fog/5e21"

// playPoisonStream plays a stream that crashes each engine that has made its first event
// and that its client sends again, and counts how often it reaches engines after the
// third crash.
func playPoisonStream(w *world) bool {
	var mu sync.Mutex
	var arrivals, crashes []time.Time
	onRun := func(r *replica, q *http.Request) bool {
		if q.URL.Path != poisonStreamPath {
			return true
		}
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, time.Now())
		if !w.trouble {
			return true
		}
		crashes = append(crashes, time.Now())
		go r.crash(downFor)
		time.Sleep(50 * time.Millisecond)
		return false
	}
	for n := range 4 {
		w.newReplica(fmt.Sprintf("i-pre%02d.0", n), "assistant", "prefill")
	}
	for n := range 8 {
		w.newReplica(fmt.Sprintf("i-dec%02d.0", n), "assistant", "decode").onRun = onRun
	}
	w.configure(1)
	fronts := []*node{w.newNode("front-1", 284), w.newNode("front-2", 284)}
	for _, n := range fronts {
		n.start()
	}
	for _, n := range fronts {
		n.awaitReady()
	}
	time.Sleep(2 * time.Second)
	c := newClients(w)
	until := time.Now().Add(poisonTime)
	turn := 0
	pick := func() *node { turn++; return fronts[turn%len(fronts)] }
	c.load(pick, "warranty", 11.4, until)
	for n := 0; time.Now().Before(until); n++ {
		c.sendTo(fronts[n%len(fronts)], "fog", poisonStreamPath)
		time.Sleep(poisonPause)
	}
	c.wg.Wait()
	late := 0
	if len(crashes) >= crashesBefore {
		for _, at := range arrivals {
			if at.After(crashes[crashesBefore-1].Add(contact)) {
				late++
			}
		}
	}
	cut, streams := 0, 0
	for _, x := range c.all {
		if x.kind != "warranty" {
			continue
		}
		streams++
		if len(w.runsOf(x.id)) > 0 && (x.err != nil || x.status != 200) {
			cut++
		}
	}
	summary := fmt.Sprintf("the request reached engines %d times and crashed %d; %d arrivals were later than %v after the third crash (%d allowed); %d of %d other streams ran and weren't answered completely",
		len(arrivals), len(crashes), late, contact, allowedRetries, cut, streams)
	w.record("sum     %s", summary)
	fmt.Println(summary)
	return late > allowedRetries
}
