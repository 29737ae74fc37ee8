package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// garblingShare of the replicas of order-desk hand out wrong bytes in place of
	// garbledAnswers of their answers.
	garblingShare  = 0.5
	garbledAnswers = 0.05
	garbleTime     = 5 * time.Second
)

// wrongBytes makes half of the replicas of order-desk hand out wrong bytes in place of some of
// their answers. The id of the request and the stamp are lost in them. Clients must not get
// them as a success.
func wrongBytes(w *world, trouble bool) bool {
	w.startFleet()
	time.Sleep(3 * time.Second)
	if trouble {
		w.garbleAnswers(garbledAnswers)
	}
	time.Sleep(garbleTime)
	w.garbleAnswers(0)
	w.endTraffic()
	return w.judgeStamps()
}

// garbleAnswers makes half of the replicas of order-desk hand out wrong bytes in place of a
// share of their answers.
func (w *world) garbleAnswers(share float64) {
	garbling := int(garblingShare * 4)
	for _, p := range w.replicas {
		if p.service != "order-desk" || garbling == 0 {
			continue
		}
		garbling--
		p.mu.Lock()
		p.garbledAnswers = share
		p.mu.Unlock()
		w.note("%s: hands out wrong bytes in place of %.2f of its answers", p.name, share)
	}
}

// garble sends the answer to a request with wrong bytes behind its first two lines, and ends
// the connection.
func (p *replica) garble(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	p.w.note("%s: hands out wrong bytes for request %s, which it has run", p.name, id)
	body := fmt.Sprintf("%s ran %s\n", p.name, id)
	head := fmt.Sprintf("X-Request-Id: %s\r\nX-Response-Stamp: stamp.%s.%s\r\n\r\n", id, p.name, id)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s", len(body), spoil(head+body))
}

// spoil returns text with another letter in place of each letter, digit and sign but those
// that divide lines.
func spoil(text string) string {
	return strings.Map(func(c rune) rune {
		if strings.ContainsRune("\r\n: ", c) {
			return c
		}
		return 'a' + rand.Int32N(26)
	}, text)
}

// judgeStamps reports whether a client got a success without the stamp of a replica.
func (w *world) judgeStamps() bool {
	without := 0
	for _, id := range slices.Sorted(maps.Keys(w.sent)) {
		a := w.sent[id]
		if a.status/100 != 2 || a.stamp != "" {
			continue
		}
		without++
		w.note("without a stamp: %s %s, sent at %.3f to %s, was answered %d with %q", a.kind, id, w.at(a.sentAt), a.instance.name, a.status, a.text)
	}
	w.summary()
	w.note("MIXED: %d clients got a success without X-Response-Stamp", without)
	return without > 0
}
