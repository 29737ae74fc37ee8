package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Sound requests come every second second and the others every third. The power is
	// lost when there are enough sound requests to compare with.
	soundEvery  = 2 * time.Second
	poisonPause = 3 * time.Second
	poisonFrom  = 43 * time.Second
	lossAt      = 46 * time.Second
	lossFor     = time.Second
	// After the loss, the first of the requests with the part comes poisonAfter after all
	// machines are ready, and the first sound one soundAfter after that moment.
	poisonAfter = 1500 * time.Millisecond
	soundAfter  = 2200 * time.Millisecond
	playAfter   = 54 * time.Second
	// leastSound is the number of sound requests that the rule needs on either side.
	leastSound = 20
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
	s.play(start, start.Add(poisonFrom), start.Add(lossAt))
	if trouble {
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
		for _, x := range c.instances {
			if err := x.awaitReady(10 * time.Second); err != nil {
				return false, err
			}
		}
	}
	again := time.Now()
	s.play(again.Add(soundAfter), again.Add(poisonAfter), again.Add(playAfter))
	return s.judge()
}

// soundCount counts the sound requests that begin at their first attempt.
type soundCount struct {
	world  *partCase
	number atomic.Int64

	mu   sync.Mutex
	sent []soundRequest
}

type soundRequest struct {
	at    time.Time
	began bool
	// counts reports whether the machine was in touch.
	counts bool
}

// play sends sound requests from soundFrom on and requests with the part from poisonFrom on,
// until the given time, and waits for their answers.
func (s *soundCount) play(soundFrom, poisonFrom, until time.Time) {
	var running sync.WaitGroup
	repeat := func(from time.Time, every time.Duration, send func()) {
		running.Go(func() {
			for at := from; at.Before(until); at = at.Add(every) {
				time.Sleep(time.Until(at))
				running.Go(send)
			}
		})
	}
	repeat(soundFrom, soundEvery, func() {
		n := int(s.number.Add(1))
		s.send(n, fmt.Sprintf("5c1e07a200000001:200,91bd3f0600000001:600,e4402b7d%08x:200", n))
	})
	repeat(poisonFrom, poisonPause, func() {
		n := int(s.number.Add(1))
		s.world.send(n, fmt.Sprintf("5c1e07a200000001:200,%s:100,91bd3f0600000001:600,e4402b7e%08x:200", poisonPart, n), true)
	})
	running.Wait()
	time.Sleep(time.Until(until))
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
func (s *soundCount) judge() (bool, error) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.world.runs
	if len(runs) == 0 {
		return false, errors.New("no replica has crashed")
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
	if min(before, after) < leastSound {
		return false, fmt.Errorf("the rule needs %d sound requests before and after", leastSound)
	}
	return 2*afterBegan*before >= beforeBegan*after, nil
}
