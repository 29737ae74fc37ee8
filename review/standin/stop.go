package main

import (
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

const (
	// graceTime is grace_s of the sheet, and slack loss_slack_ms.
	graceTime = 8 * time.Second
	slack     = 200 * time.Millisecond
	// summaryPause is the pause between two events of a summary, summaryDeadline how long
	// its client waits.
	summaryPause    = 240 * time.Millisecond
	summaryDeadline = 14 * time.Second
	// perSecond summaries a second come all the while, without a burst.
	perSecond   = 8
	trafficTime = 14 * time.Second
	stopAfter   = 5 * time.Second
)

// pause returns the pause between two events of a stream.
func (w *world) pause(q *http.Request) time.Duration {
	if len(q.URL.Path) > 9 && q.URL.Path[:9] == "/summary/" {
		return summaryPause
	}
	return eventPause
}

// playStop plays a planned stop of a machine while the engines are full and clients that
// were refused have come back, and counts the requests that it read whole and whose
// connection it closed without an answer.
func playStop(w *world) bool {
	for n := range 2 {
		w.newReplica(fmt.Sprintf("i-pre%02d.0", n), "assistant", "prefill")
		w.newReplica(fmt.Sprintf("i-dec%02d.0", n), "assistant", "decode")
	}
	w.configure(1)
	front := w.newNode("front-1", 284)
	front.start()
	front.awaitReady()
	time.Sleep(2 * time.Second)
	c := newClients(w)
	// Short streams first, so that the pool has been measured.
	for range 12 {
		c.wg.Go(func() { c.send(front, "warranty") })
		time.Sleep(150 * time.Millisecond)
	}
	c.wg.Wait()
	started := time.Now()
	c.wg.Go(func() {
		for time.Since(started) < trafficTime {
			c.wg.Go(func() { c.sendAgain(front, "summary") })
			time.Sleep(time.Second / perSecond)
		}
	})
	time.Sleep(time.Until(started.Add(stopAfter)))
	var stopped time.Time
	if w.trouble {
		stopped = time.Now()
		front.mu.Lock()
		front.stopped = true // a planned stop for good
		front.mu.Unlock()
		front.signal(syscall.SIGTERM)
		time.AfterFunc(graceTime, func() { front.signal(syscall.SIGKILL) })
	}
	c.wg.Wait()
	lost, waited, answered := 0, 0, 0
	for _, x := range c.all {
		if x.kind != "summary" {
			continue
		}
		if x.err == nil {
			answered++
			continue
		}
		if len(w.runsOf(x.id)) > 0 || x.endedAt.Sub(x.sentAt) > x.deadline-slack {
			waited++
			continue
		}
		if x.endedAt.Sub(x.sentAt) <= slack {
			continue
		}
		lost++
		w.record("lost    request=%s closed without an answer after_ms=%d, no replica ran it: %v", x.id, x.endedAt.Sub(x.sentAt).Milliseconds(), x.err)
		if w.trouble {
			w.record("lost    request=%s sent_after_sigterm_ms=%d closed_after_sigterm_ms=%d", x.id, x.sentAt.Sub(stopped).Milliseconds(), x.endedAt.Sub(stopped).Milliseconds())
		}
	}
	summary := fmt.Sprintf("%d attempts at summaries answered or refused, %d cut while a replica worked on them or at their deadline; %d read whole and closed without an answer, though no replica ran them (0 allowed)", answered, waited, lost)
	w.record("sum     %s", summary)
	fmt.Println(summary)
	return lost > 0
}

// sendAgain sends a request, and once more after a refusal, as the clients do.
func (c *clients) sendAgain(n *node, kind string) {
	by := time.Now().Add(summaryDeadline)
	x := c.send(n, kind)
	if x.err != nil || x.status != http.StatusServiceUnavailable {
		return
	}
	seconds, _ := strconv.ParseFloat(x.retryAfter, 64)
	wait := time.Duration(seconds * float64(time.Second))
	time.Sleep(min(wait, time.Until(by)/3))
	c.sendBefore(n, kind, "/"+kind+"/2f", time.Until(by))
}
