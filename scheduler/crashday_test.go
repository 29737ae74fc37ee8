package scheduler

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	crashDay = 60 * time.Second
	// The servers of both roles. Prefill servers do not crash.
	crashDayPrefills = 6
	crashDayServers  = 8
	// Sound requests come at crashDayRate a second, and an answer has crashDayEvents.
	crashDayRate   = 12
	crashDayEvents = 60
	eventGap       = 15 * time.Millisecond
	serverAway     = 3 * time.Second
	// contactPeriod is the time after the fifth crash from which on no more than
	// maxLateRuns requests with a crashing part may run.
	contactPeriod = 3 * time.Second
	maxLateRuns   = 3
	// maxHeldBack is the number of sound requests in maxHeldBackOf that a verdict may
	// refuse or hold back.
	maxHeldBack, maxHeldBackOf = 1, 1000
)

// crashDayKind is a row of testdata/crashdays.txt.
type crashDayKind map[string]string

func parseCrashDayKind(line string) crashDayKind {
	kind := crashDayKind{}
	for word := range strings.FieldsSeq(line) {
		key, value, _ := strings.Cut(word, "=")
		kind[key] = value
	}
	return kind
}

func (k crashDayKind) number(key string) float64 {
	n, _ := strconv.ParseFloat(k[key], 64)
	return n
}

func (k crashDayKind) list(key string) []float64 {
	var list []float64
	for text := range strings.SplitSeq(k[key], ",") {
		if n, err := strconv.ParseFloat(text, 64); err == nil {
			list = append(list, n)
		}
	}
	return list
}

// crashWorld plays one day in virtual time.
type crashWorld struct {
	*driver
	kind crashDayKind
	rand *rand.Rand
	// events holds what is to happen, in order of time.
	events []crashEvent
	away   map[egretflow.ServerName]bool
	// running holds the answers by server.
	running map[egretflow.ServerName][]*crashAnswer

	crashes  []time.Time
	lateRuns int
	// verdictAt is when the first request with a crashing part was refused.
	verdictAt time.Time
	sound     int
	// refused and held count the sound requests after verdictAt that a verdict refused
	// or held back.
	refused, held int
	soundEarly    int
}

type crashEvent struct {
	at time.Time
	do func()
}

// crashAnswer is an attempt that runs.
type crashAnswer struct {
	w        *waiter
	deadly   bool
	attempts int
	ended    bool
}

func (w *crashWorld) after(period time.Duration, do func()) {
	e := crashEvent{at: w.now.Add(period), do: do}
	n, _ := slices.BinarySearchFunc(w.events, e, func(a, b crashEvent) int { return cmp.Or(a.at.Compare(b.at), -1) })
	w.events = slices.Insert(w.events, n, e)
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// Guards against crashing parts that go on to crash servers, and against verdicts that hold
// back sound requests, with other numbers of events and parts than any one report had.
func TestCrashDays(t *testing.T) {
	data, err := os.ReadFile("testdata/crashdays.txt")
	if err != nil {
		t.Fatal(err)
	}
	sound, heldBack := 0, 0
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		kind := parseCrashDayKind(line)
		t.Run(strings.Join(strings.Fields(line), ","), func(t *testing.T) {
			crashes, late, kindSound, refused, held := 0, 0, 0, 0, 0
			for seed := range uint64(kind.number("days")) {
				w := playCrashDay(t, kind, seed)
				if w.lateRuns > maxLateRuns {
					t.Errorf("seed %d: %d late runs of requests with a crashing part, want %d at most (%d crashes)", seed, w.lateRuns, maxLateRuns, len(w.crashes))
				}
				crashes, late, kindSound = crashes+len(w.crashes), late+w.lateRuns, kindSound+w.sound
				refused, held = refused+w.refused, held+w.held
			}
			t.Logf("%.1f crashes a day by crashing parts, %d late runs; of %d sound requests after the verdict %d refused, %d held back",
				float64(crashes)/kind.number("days"), late, kindSound, refused, held)
			sound, heldBack = sound+kindSound, heldBack+refused+held
		})
	}
	t.Logf("%d of %d sound requests refused or held back", heldBack, sound)
	if heldBack*maxHeldBackOf > sound*maxHeldBack {
		t.Errorf("%d of %d sound requests refused or held back, want %d in %d at most", heldBack, sound, maxHeldBack, maxHeldBackOf)
	}
}

func playCrashDay(t *testing.T, kind crashDayKind, seed uint64) *crashWorld {
	w := &crashWorld{
		driver: newDriver(t, crashDayPrefills, crashDayServers), kind: kind, rand: rand.New(rand.NewPCG(seed, 7)),
		away: map[egretflow.ServerName]bool{}, running: map[egretflow.ServerName][]*crashAnswer{},
	}
	end := w.now.Add(crashDay)
	soundFrom, deadlyFrom := time.Duration(0), 5*time.Second
	if kind["warm"] != "true" {
		soundFrom, deadlyFrom = seconds(kind.number("every")+0.5+w.rand.Float64()), 0
	}
	w.after(soundFrom, func() { w.repeat(time.Second/crashDayRate, func() { w.send(false, 1) }) })
	w.after(deadlyFrom, func() { w.repeat(seconds(kind.number("every")), func() { w.send(true, int(kind.number("attempts"))) }) })
	if own := kind.number("own"); own > 0 {
		w.after(seconds(own), func() { w.repeat(seconds(own), w.crashOwn) })
	}
	for _, at := range kind.list("power") {
		w.after(seconds(at+w.rand.Float64()), w.losePower)
	}
	for tick := w.now; w.now.Before(end); {
		if len(w.events) == 0 || w.events[0].at.After(tick) {
			w.pass(tick.Sub(w.now))
			w.task.tick()
			tick = tick.Add(20 * time.Millisecond)
			continue
		}
		e := w.events[0]
		w.events = w.events[1:]
		w.pass(e.at.Sub(w.now))
		e.do()
	}
	return w
}

// repeat calls do at once and then again and again, with pauses around every.
func (w *crashWorld) repeat(every time.Duration, do func()) {
	do()
	w.after(time.Duration((0.5+w.rand.Float64())*float64(every)), func() { w.repeat(every, do) })
}

// parts returns the parts of a new request, of which the first is one of three.
func (w *crashWorld) parts(deadly bool) []egretflow.PartHash {
	list := []egretflow.PartHash{egretflow.PartHash(0xf0 + w.rand.IntN(3))}
	for n := 1; n < int(w.kind.number("parts")); n++ {
		list = append(list, egretflow.PartHash(0x1000+n))
	}
	if places := w.kind.list("place"); deadly {
		n := w.rand.IntN(len(places))
		list = slices.Insert(list, int(places[n]), deadlyPart+egretflow.PartHash(n))
	}
	return list
}

func (w *crashWorld) send(deadly bool, attempts int) {
	parts := w.parts(deadly)
	wait := w.acquire(func(work *egretflow.Work) {
		w.withParts(parts...)(work)
		work.Request = egretflow.RequestID(fmt.Sprint("q", w.nextFingerprint))
	})
	counts := !deadly && !w.verdictAt.IsZero()
	if counts {
		w.sound++
	} else if !deadly {
		w.soundEarly++
	}
	if !wait.done && counts && slices.Contains(wait.pool.crashSuspects, wait) {
		w.held++
	}
	w.await(wait, deadly, attempts, counts)
}

// await looks at a request until it has its result.
func (w *crashWorld) await(wait *waiter, deadly bool, attempts int, counts bool) {
	var refusal *egretflow.Refusal
	switch {
	case !wait.done:
		w.after(5*time.Millisecond, func() { w.await(wait, deadly, attempts, counts) })
	case wait.assignment != nil:
		w.run(&crashAnswer{w: wait, deadly: deadly, attempts: attempts})
	case errors.As(wait.err, &refusal) && refusal.Reason == egretflow.RefusalCrashSuspect:
		if deadly && w.verdictAt.IsZero() {
			w.verdictAt = w.now
		}
		if counts {
			w.refused++
		}
	}
}

func (w *crashWorld) run(a *crashAnswer) {
	server := a.w.assignment.Decode.Name
	if w.away[server] {
		w.after(time.Millisecond, func() { w.release(a.w.assignment) })
		return
	}
	if a.deadly && len(w.crashes) >= 5 && w.now.Sub(w.crashes[4]) > contactPeriod {
		w.lateRuns++
	}
	w.running[server] = append(w.running[server], a)
	w.after(40*time.Millisecond, func() { w.progress(a, 0) })
}

// progress lets the answer of a go on, which has the given number of events.
func (w *crashWorld) progress(a *crashAnswer, events int) {
	if a.ended {
		return
	}
	assignment := a.w.assignment
	switch {
	case events == 1:
		w.observe(egretflow.ObservationPrefillDone, assignment.Prefill.Name, assignment)
		w.observe(egretflow.ObservationTransferDone, assignment.Prefill.Name, assignment)
	case events > 0 && events%4 == 0:
		w.task.handle(observeMessage{observation: egretflow.Observation{
			Kind: egretflow.ObservationTokens, Server: assignment.Decode.Name, Attempt: assignment.Attempt, StartedAt: w.now.Add(-4 * eventGap), EndedAt: w.now, Tokens: 4,
		}})
	}
	if a.deadly && events == int(w.kind.number("crash")) {
		w.crashes = append(w.crashes, w.now)
		w.crash(assignment.Decode.Name)
		return
	}
	if events == crashDayEvents {
		a.ended = true
		w.remove(a)
		w.complete(assignment)
		return
	}
	w.after(eventGap, func() { w.progress(a, events+1) })
}

func (w *crashWorld) remove(a *crashAnswer) {
	server := a.w.assignment.Decode.Name
	w.running[server] = slices.DeleteFunc(w.running[server], func(other *crashAnswer) bool { return other == a })
}

// crash ends a server. Its requests report that one by one, in any order.
func (w *crashWorld) crash(server egretflow.ServerName) {
	lost := w.running[server]
	w.running[server] = nil
	w.setAway(server, true)
	w.after(serverAway, func() { w.setAway(server, false) })
	for _, a := range lost {
		a.ended = true
		w.after(time.Duration(w.rand.IntN(20))*time.Millisecond, func() {
			w.observe(egretflow.ObservationCrashed, server, a.w.assignment)
			w.release(a.w.assignment)
			if a.deadly && a.attempts > 1 {
				w.send(true, a.attempts-1)
			}
		})
	}
}

// crashOwn ends a server, or two together, for a reason that no request has.
func (w *crashWorld) crashOwn() {
	servers := []egretflow.ServerName{}
	for n := range 1 + map[string]int{"true": 1}[w.kind["domain"]] {
		servers = append(servers, egretflow.ServerName(rune('a'+crashDayPrefills+w.rand.IntN(crashDayServers/2)*2+n)))
	}
	for _, server := range servers {
		if !w.away[server] {
			w.crash(server)
		}
	}
}

func (w *crashWorld) setAway(server egretflow.ServerName, away bool) {
	w.away[server] = away
	var list []egretflow.ServerName
	for name, isAway := range w.away {
		if isAway {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	w.task.handle(unavailableMessage{servers: list})
}

// losePower ends all instances. What they wrote to the store is read again.
func (w *crashWorld) losePower() {
	for server, answers := range w.running {
		for _, a := range answers {
			a.ended = true
		}
		w.running[server] = nil
	}
	fresh := newDriver(w.T, crashDayPrefills, crashDayServers)
	fresh.now, fresh.nextFingerprint = w.now, w.nextFingerprint
	fresh.task.now = w.now
	fresh.task.crashes.Restore(w.task.crashes.Record(w.now), w.now)
	w.driver = fresh
}
