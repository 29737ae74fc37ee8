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

// plantedSeeds are tried in order until one finds the fault.
var plantedSeeds = []uint64{1, 2, 3, 4}

// Guards against checks that can never fail: each planted fault breaks one
// invariant, and a run with one of the fixed seeds must report it.
func TestPlantedFaults(t *testing.T) {
	for _, test := range []struct {
		name    string
		planted PlantedFaults
		want    egretflow.Invariant
		// faults are the kinds that expose the planted fault; nil means all.
		faults []FaultKind
	}{
		{"scheduler forgets releases", PlantedFaults{Scheduler: forgetReleases}, egretflow.InvariantMemoryFreed, nil},
		{"connections to engines stay open", PlantedFaults{Dial: leakConnections}, egretflow.InvariantMemoryFreed, nil},
		{"end of the answer is sent twice", PlantedFaults{Callers: rewriteWrites("data: [DONE]\n\n", repeatDoneEvent)}, egretflow.InvariantAnsweredOnce, nil},
		{"tokens of another answer", PlantedFaults{Dial: replaceAnswerHashes}, egretflow.InvariantWholeAnswer, nil},
		{"every rejection says not run", PlantedFaults{Callers: rewriteWrites("Run-State: MayHaveRun", replaceMayHaveRun)}, egretflow.InvariantNotRunTrue, []FaultKind{FaultBackendOutage, FaultBackendStall}},
		{"claims are skipped", PlantedFaults{Claimer: skipClaims}, egretflow.InvariantAtMostOnce, nil},
		{"list hides leaving servers", PlantedFaults{HideLeaving: true}, egretflow.InvariantLeavingServer, []FaultKind{FaultLeave}},
		{"shutdown closes connections", PlantedFaults{Callers: closeOnShutdown}, egretflow.InvariantNoCutOnShutdown, []FaultKind{FaultShutdown}},
		{"store ignores conditions", PlantedFaults{Store: ignoreConditions}, egretflow.InvariantNoRevert, []FaultKind{FaultRacingEdits}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			found := 0
			for _, seed := range plantedSeeds {
				if runSeed(t, Options{Seed: seed, Faults: test.faults, PlantedFaults: test.planted, ChecksOnly: true}).Found(test.want) {
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

// forgetfulScheduler drops every fourth release, except those of prefills only.
type forgetfulScheduler struct {
	egretflow.Scheduler
	mu       sync.Mutex
	releases int
}

func forgetReleases(s egretflow.Scheduler) egretflow.Scheduler {
	return &forgetfulScheduler{Scheduler: s}
}

func (s *forgetfulScheduler) Release(r egretflow.Release) {
	s.mu.Lock()
	s.releases++
	forget := !r.PrefillOnly && s.releases%4 == 0
	s.mu.Unlock()
	if !forget {
		s.Scheduler.Release(r)
	}
}

// leakedConn stays open at the engine after Close and drops abort requests.
type leakedConn struct{ net.Conn }

func leakConnections(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil || !strings.HasSuffix(address, ":"+strconv.Itoa(backendPort)) {
			return c, err
		}
		return leakedConn{c}, nil
	}
}

// Close ends reads and writes of the caller without closing the connection.
func (c leakedConn) Close() error { return c.SetDeadline(time.Unix(1, 0)) }

func (c leakedConn) Write(p []byte) (int, error) {
	if bytes.HasPrefix(p, []byte("POST /abort_request")) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// wrongHashConn replaces the prompt hash in the answer tokens that it reads.
type wrongHashConn struct{ net.Conn }

// replaceAnswerHashes wraps one in ten connections in a wrongHashConn.
func replaceAnswerHashes(dial dialFunc) dialFunc {
	rng := rand.New(rand.NewPCG(1, 1))
	var mu sync.Mutex
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		mu.Lock()
		defer mu.Unlock()
		if err == nil && rng.IntN(10) == 0 {
			return wrongHashConn{c}, nil
		}
		return c, err
	}
}

func (c wrongHashConn) Read(p []byte) (int, error) {
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

// rewritingConn applies change to writes that contain text.
type rewritingConn struct {
	net.Conn
	text   []byte
	change func(p []byte) []byte
}

func (c rewritingConn) Write(p []byte) (int, error) {
	if !bytes.Contains(p, c.text) {
		return c.Conn.Write(p)
	}
	if _, err := c.Conn.Write(c.change(p)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// wrappingListener wraps the connections that it accepts.
type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (l wrappingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(c), nil
}

func rewriteWrites(text string, change func(p []byte) []byte) func(net.Listener, <-chan struct{}) net.Listener {
	return func(ln net.Listener, _ <-chan struct{}) net.Listener {
		return wrappingListener{ln, func(c net.Conn) net.Conn { return rewritingConn{c, []byte(text), change} }}
	}
}

// repeatDoneEvent repeats the [DONE] event, which is the last chunk before the
// end of the body.
func repeatDoneEvent(p []byte) []byte {
	chunk := []byte("e\r\ndata: [DONE]\n\n\r\n")
	at := bytes.LastIndex(p, []byte("\r\n0\r\n"))
	if at < 0 {
		return append(bytes.Clone(p), chunk...)
	}
	return append(append(bytes.Clone(p[:at+2]), chunk...), p[at+2:]...)
}

// replaceMayHaveRun pads the value with spaces, so that the header keeps its
// length.
func replaceMayHaveRun(p []byte) []byte {
	return bytes.Replace(p, []byte("Run-State: MayHaveRun"), []byte("Run-State: NotRun    "), 1)
}

func closeOnShutdown(ln net.Listener, stopping <-chan struct{}) net.Listener {
	return wrappingListener{ln, func(c net.Conn) net.Conn {
		ended := make(chan struct{})
		go func() {
			select {
			case <-stopping:
				_ = c.Close()
			case <-ended:
			}
		}()
		return &closeNotifyingConn{Conn: c, ended: ended}
	}}
}

// closeNotifyingConn closes a channel when it is closed.
type closeNotifyingConn struct {
	net.Conn
	once  sync.Once
	ended chan struct{}
}

func (c *closeNotifyingConn) Close() error {
	c.once.Do(func() { close(c.ended) })
	return c.Conn.Close()
}

// noClaimClaimer lets every request run without a claim.
type noClaimClaimer struct{ egretflow.Claimer }

func skipClaims(c egretflow.Claimer) egretflow.Claimer { return noClaimClaimer{c} }

func (noClaimClaimer) Begin(context.Context, egretflow.ClaimKey, time.Time) (*egretflow.ClaimTicket, *egretflow.Outcome, error) {
	return &egretflow.ClaimTicket{RunBy: time.Now().Add(time.Minute)}, nil, nil
}

func (noClaimClaimer) Finish(context.Context, *egretflow.ClaimTicket, *egretflow.Outcome) error {
	return nil
}

func (noClaimClaimer) MarkNotRun(context.Context, *egretflow.ClaimTicket) error { return nil }

func (noClaimClaimer) MarkUnknown(context.Context, *egretflow.ClaimTicket) error { return nil }

// unconditionalStore commits writes without checking their conditions.
type unconditionalStore struct{ egretflow.Store }

func ignoreConditions(s egretflow.Store) egretflow.Store { return unconditionalStore{s} }

func (s unconditionalStore) Commit(ctx context.Context, txn egretflow.StoreTxn) (egretflow.StoreVersion, error) {
	txn.Conditions = nil
	return s.Store.Commit(ctx, txn)
}
