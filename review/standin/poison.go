package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	poisonPath = "/stock/5e21"
	// poisonPause is the time between two sends of the request.
	poisonPause = 2 * time.Second
	poisonTime  = 60 * time.Second
	// downFor is how long a replica that crashed is down.
	downFor = 3 * time.Second
	// contact is contact_ms of the sheet.
	contact = 3 * time.Second
	// allowedRetries is how often the request may still reach replicas after contact.
	allowedRetries = 3
	crashesBefore  = 3
)

// playPoisonCall plays a lookup that crashes each replica that begins to run it and that its
// client sends again, and counts how often it reaches replicas after the third crash.
func playPoisonCall(w *world) bool {
	var mu sync.Mutex
	var arrivals, crashes []time.Time
	for n := range 4 {
		r := w.newReplica(fmt.Sprintf("i-desk%02d.0", n), "desk", "")
		r.onRun = func(r *replica, q *http.Request) bool {
			if q.URL.Path != poisonPath {
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
	c.load(pick, "order", 20, until)
	for n := 0; time.Now().Before(until); n++ {
		c.sendTo(fronts[n%len(fronts)], "stock", poisonPath)
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
	lost, orders := 0, 0
	for _, x := range c.all {
		if x.kind != "order" {
			continue
		}
		orders++
		if len(w.runsOf(x.id)) > 0 && (x.err != nil || x.status != 200) {
			lost++
		}
	}
	summary := fmt.Sprintf("the request reached replicas %d times and crashed %d; %d arrivals were later than %v after the third crash (%d allowed); %d of %d orders ran and weren't answered with success",
		len(arrivals), len(crashes), late, contact, allowedRetries, lost, orders)
	w.record("sum     %s", summary)
	fmt.Println(summary)
	return late > allowedRetries
}
