package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

// request is one request of a client and what became of it.
type request struct {
	id      string
	kind    string
	node    *node
	kept    bool // sent on a kept connection
	sentAt  time.Time
	endedAt time.Time
	status  int
	stamp   string
	// retryAfter is in seconds, with fractions.
	retryAfter string
	body       string
	err        error
	deadline   time.Duration
}

// clients sends requests on kept connections and holds their results.
type clients struct {
	w      *world
	client *http.Client
	mu     sync.Mutex
	all    []*request
	wg     sync.WaitGroup
	next   int
}

func newClients(w *world) *clients {
	return &clients{w: w, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, IdleConnTimeout: 12 * time.Second, DisableCompression: true}}}
}

// send sends a request and waits for its end.
func (c *clients) send(n *node, kind string) *request { return c.sendTo(n, kind, "/"+kind+"/2f") }

// sendTo is like send, with a path of its own.
func (c *clients) sendTo(n *node, kind, path string) *request {
	return c.sendBefore(n, kind, path, 0)
}

// sendBefore is like sendTo, for a client that waits no longer than left; 0 means the
// deadline of the kind.
func (c *clients) sendBefore(n *node, kind, path string, left time.Duration) *request {
	c.mu.Lock()
	c.next++
	x := &request{id: fmt.Sprintf("%s-%05d", kind, c.next), kind: kind, node: n, sentAt: time.Now(), deadline: 4 * time.Second}
	c.all = append(c.all, x)
	c.mu.Unlock()
	method, body := http.MethodPost, strings.Repeat("b", 600)
	switch kind {
	case "stock":
		method, body = http.MethodGet, ""
	case "warranty", "fog", "summary":
		x.deadline = 14 * time.Second
	}
	if left > 0 {
		x.deadline = left
	}
	ctx, cancel := context.WithTimeout(context.Background(), x.deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { x.kept = i.Reused }})
	// The body can't be sent again, so that net/http repeats nothing.
	var reader io.Reader
	if body != "" {
		reader = io.MultiReader(strings.NewReader(body))
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, reader)
	if err != nil {
		fatal(err)
	}
	q.Host = "ficu95.example"
	if body != "" {
		q.ContentLength = int64(len(body))
	}
	q.Header.Set("X-Request-Id", x.id)
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(x.deadline.Milliseconds()))
	if kind == "warranty" || kind == "fog" || kind == "summary" {
		q.Header.Set("X-Model", "m")
		q.Header.Set("X-Token-Counts", "3200,72")
		if kind == "summary" {
			q.Header.Set("X-Token-Counts", "3200,720")
		}
		q.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:200,%08x:3000", promptOf(path, c.next)))
	}
	c.w.record("sent    request=%s node=%s %s %s", x.id, n.name, method, path)
	resp, err := c.client.Do(q)
	if err == nil {
		x.status, x.stamp, x.retryAfter = resp.StatusCode, resp.Header.Get("X-Response-Stamp"), resp.Header.Get("Retry-After")
		var data []byte
		data, err = io.ReadAll(resp.Body)
		x.body = string(data)
		resp.Body.Close()
	}
	x.err, x.endedAt = err, time.Now()
	c.w.record("end     request=%s kept=%v status=%d bytes=%d stamp=%q after_ms=%d error=%v", x.id, x.kept, x.status, len(x.body), x.stamp, x.endedAt.Sub(x.sentAt).Milliseconds(), err)
	return x
}

// load sends perSecond requests a second until the end, each on its own.
func (c *clients) load(pick func() *node, kind string, perSecond float64, until time.Time) {
	c.wg.Go(func() {
		for time.Now().Before(until) {
			c.wg.Go(func() { c.send(pick(), kind) })
			time.Sleep(time.Duration(float64(time.Second) / perSecond))
		}
	})
}

// promptOf returns the id of the last part of a prompt: requests with a path of their own
// have the same prompt each time.
func promptOf(path string, n int) int {
	if strings.HasSuffix(path, "/2f") {
		return n
	}
	return 0x7fff0001
}
