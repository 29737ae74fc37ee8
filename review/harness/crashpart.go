package main

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// poisonPart is the part of a prompt that crashes replicas.
const poisonPart = "badbadbadbad0001"

// partTokens is the length of a part of partList.
const partTokens = 14

// partCase is a small deployment with a model: three machines, three prefill and six decode
// replicas.
type partCase struct {
	rec       *record
	store     *store
	instances []*instance
	// resumable and maxAttempts are those of the route.
	resumable   bool
	maxAttempts int

	mu       sync.Mutex
	attempts map[string]*attempt
	runs     []run
	answers  map[string]int
}

// crashPart checks the rule BUDGET on a part that crashes replicas which begin to write an
// answer on it: no more than three requests with it reach replicas, sent by machines in
// touch later than contact_ms after the fifth crash. Without trouble, the requests come
// without that part. eventsBefore is the number of events that a replica has written when
// it crashes, and partsBefore the number of sound parts between the first part and it.
func crashPart(eventsBefore, partsBefore int) func(root string, rec *record, trouble bool) (bool, error) {
	return func(root string, rec *record, trouble bool) (bool, error) {
		dir, err := os.MkdirTemp("", "review-2-")
		if err != nil {
			return false, fmt.Errorf("make folder: %w", err)
		}
		defer os.RemoveAll(dir)
		c := &partCase{rec: rec, store: newStore(), attempts: map[string]*attempt{}, answers: map[string]int{}, maxAttempts: 1}
		defer func() {
			for _, x := range c.instances {
				x.kill()
			}
		}()
		if err := c.begin(dir, root, eventsBefore); err != nil {
			return false, err
		}
		rec.print("traffic begins")
		end := time.Now().Add(45 * time.Second)
		tokensLeft := 600 - partTokens*partsBefore
		var running sync.WaitGroup
		running.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				prefix := fmt.Sprintf("5c1e07a2%08x:200,%s91bd3f06%08x:%d,e4402b7d%08x:200", n%3, partList(partsBefore), n, tokensLeft, n)
				running.Go(func() { c.send(n, prefix, false) })
				time.Sleep(50 * time.Millisecond)
			}
		})
		running.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				part := poisonPart
				if !trouble {
					part = fmt.Sprintf("91bd3f07%08x", n)
				}
				prefix := fmt.Sprintf("5c1e07a2%08x:200,%s%s:%d,e4402b7e%08x:200", n%3, partList(partsBefore), part, tokensLeft, n)
				running.Go(func() { c.send(n, prefix, trouble) })
				time.Sleep(2 * time.Second)
			}
		})
		running.Wait()
		return c.judge(), nil
	}
}

// partList lists n parts that sound requests share, as a prefix header does.
func partList(n int) string {
	var list strings.Builder
	for k := range n {
		fmt.Fprintf(&list, "6f0a%08x:%d,", k, partTokens)
	}
	return list.String()
}

func (c *partCase) begin(dir, root string, eventsBefore int) error {
	zones := []string{"moshi-lab", "arusha-depot", "moshi-annex"}
	ips := []string{"127.0.71.21", "127.0.71.22", "127.0.71.23"}
	storeAddress, err := serveStore(c.store)
	if err != nil {
		return err
	}
	c.store.put("op/config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "letters", "host": "letters.example", "prefix": "/letters/", "kind": "streaming", "timeout_ms": 14000, "target_latency_ms": 900,
			"priority": 1, "service": "letter-writers", "max_attempts": c.maxAttempts, "sticky_sessions": true, "resumable": c.resumable, "gap_aim_ms": 300,
		}},
		"services": []map[string]any{{
			"name": "letter-writers", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_capacity": 34221, "kv_token_bytes": 35136, "link_mbps": 1100000.0, "moves": true, "backups": true, "stride": 13,
				"most": 12, "handle_ttl_s": 0.5, "role_switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []map[string]any{{"name": "m"}},
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for n := range 9 {
		e := &engine{
			store: c.store, rec: c.rec, service: "letter-writers", stage: "decode", zone: zones[n%3], address: fmt.Sprintf("127.0.73.%d:0", 11+n),
			poison: poisonPart, eventsBefore: eventsBefore, ran: c.noteRun,
		}
		if n < 3 {
			e.stage = "prefill"
		}
		if err := e.run(); err != nil {
			return err
		}
	}
	p, err := freePorts(ips)
	if err != nil {
		return err
	}
	for n, ip := range ips {
		x, err := newInstance(c.rec, dir, root, "front-"+zones[n]+"-1", ip, zones[n], storeAddress, p, true)
		if err != nil {
			return err
		}
		c.instances = append(c.instances, x)
		if err := x.start(); err != nil {
			return err
		}
	}
	for _, x := range c.instances {
		if err := x.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(contact)
	return nil
}

// noteRun notes the runs of requests with the part that crashes replicas.
func (c *partCase) noteRun(r run) {
	if !r.crashes {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs = append(c.runs, r)
	c.rec.print("request %s runs at replica %s", r.id, r.replica)
}

// send sends one request for a letter and notes its answer.
func (c *partCase) send(n int, prefix string, crashes bool) {
	x := c.instances[n%len(c.instances)]
	a := &attempt{id: fmt.Sprintf("%016x", time.Now().UnixNano()), instance: x, inTouch: x.upFor(time.Now()) > contact}
	if crashes {
		c.mu.Lock()
		c.attempts[a.id] = a
		c.mu.Unlock()
		c.rec.print("request %s with the part is sent to %s", a.id, x.name)
	}
	a.status = postLetter(x.front, prefix, a.id, n)
	kind := "sound"
	if crashes {
		kind = "with the part"
		c.rec.print("request %s with the part is answered: %s", a.id, a.status)
	}
	c.mu.Lock()
	c.answers[kind+": "+a.status]++
	c.mu.Unlock()
}

// postLetter sends a request for a stream and returns what its client sees.
func postLetter(address, prefix, id string, n int) string {
	client := &http.Client{Timeout: 14 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	body := fmt.Appendf(nil, "%06d %s", n, bytes.Repeat([]byte("a"), 2990))
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/letters/2f", bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = "letters.example"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": "14000", "X-Model": "m", "X-Token-Counts": "1000,72", "X-Prompt-Prefix": prefix,
	} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return "closed"
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Sprintf("%d, cut after %d events", resp.StatusCode, bytes.Count(data, []byte("\n\n")))
	}
	return resp.Status
}

func (c *partCase) judge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, text := range slices.Sorted(maps.Keys(c.answers)) {
		c.rec.print("%s: %d", text, c.answers[text])
	}
	counted := map[string]bool{}
	for n, r := range c.runs {
		a := c.attempts[r.id]
		if n >= 5 && r.at.Sub(c.runs[4].at) > contact && a != nil && a.inTouch {
			counted[r.id] = true
		}
	}
	result := fmt.Sprintf("%d runs of requests with the part, %d requests later than contact_ms after the fifth crash; the rule allows 3", len(c.runs), len(counted))
	c.rec.print("%s", result)
	fmt.Println(result)
	return len(counted) <= 3
}
