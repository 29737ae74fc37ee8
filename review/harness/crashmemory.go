package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	poisonPath = "/desk/poison-7"
	// poisonEvery is the pause between two visits of the request that crashes replicas.
	// At each visit it comes at all machines.
	poisonEvery = 6 * time.Second
	caseLength  = 56 * time.Second
	// outageFor is how long all machines are without power.
	outageFor = time.Second
)

// outagesAt holds when all machines lose power: in the middle of the day, and once more.
var outagesAt = []time.Duration{21 * time.Second, 39 * time.Second}

// attempt is one client attempt of the request that crashes replicas.
type attempt struct {
	id       string
	instance *instance
	// inTouch reports whether the machine has run for contact_ms.
	inTouch bool
	status  string
}

// world is a small deployment: three machines and four replicas of one application.
type world struct {
	rec       *record
	store     *store
	instances []*instance

	mu       sync.Mutex
	attempts map[string]*attempt
	arrivals []arrival
	sound    map[string]int
}

// crashMemory checks the rule BUDGET on a request that crashes the replicas that run it: no
// more than three retries of it reach replicas, sent by machines in touch later than
// contact_ms after it has crashed the third. It reports whether the rule held.
func crashMemory(root string, rec *record, trouble bool) (bool, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return false, fmt.Errorf("make folder: %w", err)
	}
	defer os.RemoveAll(dir)
	w := &world{rec: rec, store: newStore(), attempts: map[string]*attempt{}, sound: map[string]int{}}
	defer w.stop()
	if err := w.begin(dir, root); err != nil {
		return false, err
	}
	start := time.Now()
	rec.print("traffic begins")
	var running sync.WaitGroup
	for n := range 4 {
		running.Go(func() { w.sendSound(n, start.Add(caseLength)) })
	}
	running.Go(func() {
		for at := start.Add(2 * time.Second); at.Before(start.Add(caseLength)); at = at.Add(poisonEvery) {
			time.Sleep(time.Until(at))
			w.sendPoison()
		}
	})
	var failure error
	for _, at := range outagesAt {
		if trouble && failure == nil {
			time.Sleep(time.Until(start.Add(at)))
			failure = w.losePower()
		}
	}
	running.Wait()
	return w.judge(), failure
}

// losePower ends all machines at once and starts them again.
func (w *world) losePower() error {
	w.rec.print("all machines lose power")
	for _, x := range w.instances {
		x.kill()
	}
	time.Sleep(outageFor)
	for _, x := range w.instances {
		if err := x.start(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) begin(dir, root string) error {
	zones := []string{"moshi-lab", "arusha-depot", "moshi-annex"}
	ips := []string{"127.0.71.11", "127.0.71.12", "127.0.71.13"}
	storeAddress, err := serveStore(w.store)
	if err != nil {
		return err
	}
	w.store.put("op/config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "lookup", "host": "desk.example", "prefix": "/desk/", "kind": "safe", "timeout_ms": 1500, "target_latency_ms": 300,
			"priority": 2, "service": "order-desk", "max_attempts": 2,
		}},
		"services": []map[string]any{{"name": "order-desk", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for n := range 4 {
		p := &replica{
			store: w.store, rec: w.rec, service: "order-desk", address: fmt.Sprintf("127.0.72.%d:0", 11+n), zone: zones[n%3], poison: "poison",
			arrived: w.noteArrival,
		}
		if err := p.run(); err != nil {
			return err
		}
	}
	p, err := freePorts(ips)
	if err != nil {
		return err
	}
	for n, ip := range ips {
		x, err := newInstance(w.rec, dir, root, "front-"+zones[n]+"-1", ip, zones[n], storeAddress, p, true)
		if err != nil {
			return err
		}
		w.instances = append(w.instances, x)
		if err := x.start(); err != nil {
			return err
		}
	}
	for _, x := range w.instances {
		if err := x.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(contact)
	return nil
}

func (w *world) stop() {
	for _, x := range w.instances {
		x.kill()
	}
}

// noteArrival notes the requests that crash replicas.
func (w *world) noteArrival(a arrival) {
	if !a.crashed {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
	w.rec.print("request %s runs at replica %s", a.id, a.replica)
}

// sendPoison sends the request that crashes replicas to each machine, one client attempt
// each.
func (w *world) sendPoison() {
	var sent sync.WaitGroup
	for _, x := range w.instances {
		sent.Go(func() {
			a := &attempt{id: fmt.Sprintf("%x", time.Now().UnixNano()) + x.ip[len(x.ip)-2:], instance: x, inTouch: x.upFor(time.Now()) > contact}
			w.mu.Lock()
			w.attempts[a.id] = a
			w.mu.Unlock()
			w.rec.print("request %s is sent to %s (in touch: %v)", a.id, x.name, a.inTouch)
			a.status = get(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, x.front, poisonPath, a.id)
			w.rec.print("request %s is answered: %s", a.id, a.status)
		})
	}
	sent.Wait()
}

// sendSound sends lookups that crash nothing, five a second, to all machines in turn.
func (w *world) sendSound(client int, until time.Time) {
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	defer transport.CloseIdleConnections()
	for n := client; time.Now().Before(until); n++ {
		x := w.instances[n%len(w.instances)]
		status := get(&http.Client{Transport: transport}, x.front, fmt.Sprintf("/desk/lookup-%d-%d", client, n), fmt.Sprintf("%x", time.Now().UnixNano())+fmt.Sprint(client))
		w.mu.Lock()
		w.sound[status]++
		w.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
}

// get sends a request and returns its status, or "closed" if there is no answer.
func get(client *http.Client, address, path, id string) string {
	client.Timeout = 3 * time.Second
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		panic(err)
	}
	req.Host = "desk.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		return "closed"
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return "incomplete"
	}
	return resp.Status
}

// judge counts what the rule counts, and reports whether it held.
func (w *world) judge() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, status := range slices.Sorted(maps.Keys(w.sound)) {
		w.rec.print("sound lookups answered %s: %d", status, w.sound[status])
	}
	counted, attempts := 0, map[string]bool{}
	for n, a := range w.arrivals {
		if n < 3 {
			continue
		}
		after, x := a.at.Sub(w.arrivals[2].at), w.attempts[a.id]
		counts := after > contact && x != nil && x.inTouch
		w.rec.print("run %d: %.1f s after the third crash, counts: %v", n+1, after.Seconds(), counts)
		if counts {
			counted++
			attempts[a.id] = true
		}
	}
	result := fmt.Sprintf("%d runs in all, %d of %d client attempts later than contact_ms after the third crash; the rule allows 3",
		len(w.arrivals), counted, len(attempts))
	w.rec.print("%s", result)
	fmt.Println(result)
	return counted <= 3
}
