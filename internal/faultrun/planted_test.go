package faultrun

import (
	"bytes"
	"context"
	"flag"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

var plantedAll = flag.Bool("planted-all", false, "run TestPlantedFaults on all of its seeds and count those that find each fault")

// plantedSeeds are tried in turn until one finds the fault.
var plantedSeeds = []uint64{1, 2, 3, 4}

// Guards against checks that cannot fail: each planted fault breaks one
// invariant, and a fixed seed must find it.
func TestPlantedFaults(t *testing.T) {
	for _, test := range []struct {
		name    string
		planted Planted
		want    egretflow.Invariant
		// faults are those that the planted fault needs to show; nil means all.
		faults []FaultKind
	}{
		{"scheduler forgets releases", Planted{Scheduler: forgetReleases}, egretflow.InvariantMemoryFreed, nil},
		{"connections to engines stay open", Planted{Dial: keepOpen}, egretflow.InvariantMemoryFreed, nil},
		{"end of the answer is sent twice", Planted{Callers: rewrite("data: [DONE]\n\n", repeatWrite)}, egretflow.InvariantAnsweredOnce, nil},
		{"tokens of another answer", Planted{Dial: crossAnswers}, egretflow.InvariantWholeAnswer, nil},
		{"every rejection says not run", Planted{Callers: rewrite("Run-State: MayHaveRun", sayNotRun)}, egretflow.InvariantNotRunTrue, []FaultKind{FaultBackendOutage, FaultBackendStall}},
		{"claims are skipped", Planted{Claimer: skipClaims}, egretflow.InvariantAtMostOnce, nil},
		{"list hides leaving servers", Planted{HideLeaving: true}, egretflow.InvariantLeavingServer, []FaultKind{FaultLeave}},
		{"shutdown closes connections", Planted{Callers: closeOnShutdown}, egretflow.InvariantNoCutOnShutdown, []FaultKind{FaultShutdown}},
		{"store ignores conditions", Planted{Store: ignoreConditions}, egretflow.InvariantNoRevert, []FaultKind{FaultEdits}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			found := 0
			for _, seed := range plantedSeeds {
				if runSeed(t, Options{Seed: seed, Faults: test.faults, Planted: test.planted, ChecksOnly: true}).Found(test.want) {
					found++
					if !*plantedAll {
						break
					}
				}
			}
			if found == 0 {
				t.Errorf("no seed finds a violation of %s", test.want)
			}
			if *plantedAll {
				t.Logf("%s: found by %d of %d seeds", test.name, found, len(plantedSeeds))
			}
		})
	}
}

// scheduler forgets every fourth release.
type scheduler struct {
	egretflow.Scheduler
	mu       sync.Mutex
	releases int
}

func forgetReleases(s egretflow.Scheduler) egretflow.Scheduler { return &scheduler{Scheduler: s} }

func (s *scheduler) Release(r egretflow.Release) {
	s.mu.Lock()
	s.releases++
	forget := !r.PrefillOnly && s.releases%4 == 0
	s.mu.Unlock()
	if !forget {
		s.Scheduler.Release(r)
	}
}

// openConn stays open at the engine after its Close, and aborts are lost on it.
type openConn struct{ net.Conn }

func keepOpen(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil || !strings.HasSuffix(address, ":"+strconv.Itoa(backendPort)) {
			return c, err
		}
		return openConn{c}, nil
	}
}

// Close ends the own use of the connection only.
func (c openConn) Close() error { return c.SetDeadline(time.Unix(1, 0)) }

func (c openConn) Write(p []byte) (int, error) {
	if bytes.HasPrefix(p, []byte("POST /abort_request")) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// crossedConn gives the tokens of every tenth connection the hash of another
// prompt.
type crossedConn struct{ net.Conn }

func crossAnswers(dial dialFunc) dialFunc {
	rng := rand.New(rand.NewPCG(1, 1))
	var mu sync.Mutex
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		mu.Lock()
		defer mu.Unlock()
		if err == nil && rng.IntN(10) == 0 {
			return crossedConn{c}, nil
		}
		return c, err
	}
}

func (c crossedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	rest := p[:n]
	for {
		_, after, ok := bytes.Cut(rest, []byte(`"content":"w`))
		if !ok || len(after) < 8 {
			return n, err
		}
		copy(after, "00000000")
		rest = after
	}
}

// writeConn changes writes that contain a text.
type writeConn struct {
	net.Conn
	text   []byte
	change func(p []byte) []byte
}

func (c writeConn) Write(p []byte) (int, error) {
	if !bytes.Contains(p, c.text) {
		return c.Conn.Write(p)
	}
	if _, err := c.Conn.Write(c.change(p)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// wrapped is a listener whose connections are wrapped.
type wrapped struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (l wrapped) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(c), nil
}

func rewrite(text string, change func(p []byte) []byte) func(net.Listener, <-chan struct{}) net.Listener {
	return func(ln net.Listener, _ <-chan struct{}) net.Listener {
		return wrapped{ln, func(c net.Conn) net.Conn { return writeConn{c, []byte(text), change} }}
	}
}

// repeatWrite repeats the event, which is the last before the end of the body.
func repeatWrite(p []byte) []byte {
	chunk := []byte("e\r\ndata: [DONE]\n\n\r\n")
	at := bytes.LastIndex(p, []byte("\r\n0\r\n"))
	if at < 0 {
		return append(bytes.Clone(p), chunk...)
	}
	return append(append(bytes.Clone(p[:at+2]), chunk...), p[at+2:]...)
}

// sayNotRun keeps the length of the header.
func sayNotRun(p []byte) []byte {
	return bytes.Replace(p, []byte("Run-State: MayHaveRun"), []byte("Run-State: NotRun    "), 1)
}

func closeOnShutdown(ln net.Listener, stopping <-chan struct{}) net.Listener {
	return wrapped{ln, func(c net.Conn) net.Conn {
		ended := make(chan struct{})
		go func() {
			select {
			case <-stopping:
				_ = c.Close()
			case <-ended:
			}
		}()
		return &notedConn{Conn: c, ended: ended}
	}}
}

// notedConn closes a channel when it is closed.
type notedConn struct {
	net.Conn
	once  sync.Once
	ended chan struct{}
}

func (c *notedConn) Close() error {
	c.once.Do(func() { close(c.ended) })
	return c.Conn.Close()
}

// claimer lets every request run.
type claimer struct{ egretflow.Claimer }

func skipClaims(c egretflow.Claimer) egretflow.Claimer { return claimer{c} }

func (claimer) Begin(context.Context, egretflow.ClaimKey, time.Time) (*egretflow.ClaimTicket, *egretflow.Outcome, error) {
	return &egretflow.ClaimTicket{RunBy: time.Now().Add(time.Minute)}, nil, nil
}

func (claimer) Finish(context.Context, *egretflow.ClaimTicket, *egretflow.Outcome) error { return nil }

func (claimer) MarkNotRun(context.Context, *egretflow.ClaimTicket) error { return nil }

func (claimer) MarkUnknown(context.Context, *egretflow.ClaimTicket) error { return nil }

// store writes without looking at the conditions.
type blindStore struct{ egretflow.Store }

func ignoreConditions(s egretflow.Store) egretflow.Store { return blindStore{s} }

func (s blindStore) Commit(ctx context.Context, txn egretflow.StoreTxn) (int64, error) {
	txn.Conditions = nil
	return s.Store.Commit(ctx, txn)
}
