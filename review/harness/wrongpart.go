package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// Sound requests come once a second, half a second after each request with the part
	// that crashes replicas, which comes every third second.
	soundEvery  = time.Second
	poisonPause = 3 * time.Second
	poisonFrom  = 21 * time.Second
	lossAt      = 25200 * time.Millisecond
	lossFor     = time.Second
	playFor     = 58 * time.Second
)

// wrongPart checks the rule LOST on a part that crashes replicas: sound requests with the
// same first part must begin at their first attempt at least half as often, from
// 2 x contact_ms after the last crash on, as before. The disruption is a loss of power of
// all machines.
func wrongPart(root string, rec *record, trouble bool) (bool, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return false, fmt.Errorf("make folder: %w", err)
	}
	defer os.RemoveAll(dir)
	c := &partCase{rec: rec, store: newStore(), attempts: map[string]*attempt{}, answers: map[string]int{}, resumable: true, maxAttempts: 2}
	defer func() {
		for _, x := range c.instances {
			x.kill()
		}
	}()
	if err := c.begin(dir, root, 0); err != nil {
		return false, err
	}
	rec.print("traffic begins")
	start := time.Now()
	s := &soundCount{world: c}
	var running sync.WaitGroup
	running.Go(func() {
		for n := 0; ; n++ {
			at := start.Add(time.Duration(n)*soundEvery + soundEvery/2)
			if at.After(start.Add(playFor)) {
				return
			}
			time.Sleep(time.Until(at))
			running.Go(func() { s.send(n, fmt.Sprintf("5c1e07a200000001:200,91bd3f0600000001:600,e4402b7d%08x:200", n)) })
		}
	})
	running.Go(func() {
		for n := 0; ; n++ {
			at := start.Add(poisonFrom + time.Duration(n)*poisonPause)
			if at.After(start.Add(playFor)) {
				return
			}
			time.Sleep(time.Until(at))
			prefix := fmt.Sprintf("5c1e07a200000001:200,%s:100,91bd3f0600000001:600,e4402b7e%08x:200", poisonPart, n)
			running.Go(func() { c.send(n, prefix, true) })
		}
	})
	if trouble {
		time.Sleep(time.Until(start.Add(lossAt)))
		rec.print("all machines lose power")
		for _, x := range c.instances {
			x.kill()
		}
		time.Sleep(lossFor)
		for _, x := range c.instances {
			if err := x.start(); err != nil {
				return false, err
			}
		}
	}
	running.Wait()
	return s.judge(), nil
}

// soundCount counts the sound requests that begin at their first attempt.
type soundCount struct {
	world *partCase

	mu   sync.Mutex
	sent []soundRequest
}

type soundRequest struct {
	at    time.Time
	began bool
	// counts reports whether the machine was in touch.
	counts bool
}

func (s *soundCount) send(n int, prefix string) {
	x := s.world.instances[n%len(s.world.instances)]
	r := soundRequest{at: time.Now(), counts: x.upFor(time.Now()) > contact}
	status := postLetter(x.front, prefix, fmt.Sprintf("%016x", time.Now().UnixNano()), n)
	r.began = strings.HasPrefix(status, "200")
	s.world.rec.print("sound request %d to %s is answered: %s", n, x.name, status)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, r)
}

// judge compares the sound requests before the first crash with those later than
// 2 x contact_ms after the fifth crash, or after the last one if there are fewer.
func (s *soundCount) judge() bool {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.world.runs
	if len(runs) == 0 {
		return true
	}
	last := runs[min(len(runs), 5)-1].at
	var before, beforeBegan, after, afterBegan int
	for _, r := range s.sent {
		switch {
		case !r.counts:
		case r.at.Before(runs[0].at):
			before++
			if r.began {
				beforeBegan++
			}
		case r.at.After(last.Add(2 * contact)):
			after++
			if r.began {
				afterBegan++
			}
		}
	}
	result := fmt.Sprintf("%d crashes; of the sound requests, %d of %d began before the first, %d of %d later than 2 x contact_ms after the last that counts",
		len(runs), beforeBegan, before, afterBegan, after)
	s.world.rec.print("%s", result)
	fmt.Println(result)
	return 2*afterBegan*before >= beforeBegan*after
}
