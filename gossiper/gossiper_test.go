package gossiper

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/fakestore"
)

// fakeState stands for the scheduler. It returns a fixed load and fixed crash reports
// and keeps what the peers have sent.
type fakeState struct {
	mu       sync.Mutex
	load     egretflow.PrefillLoad
	received map[egretflow.InstanceName]egretflow.PrefillLoad
	crashes  []egretflow.CrashReport
	merged   int
}

func (s *fakeState) PrefillLoad(time.Time) egretflow.PrefillLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load
}

func (s *fakeState) ApplyPrefillLoad(from egretflow.InstanceName, load egretflow.PrefillLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.received == nil {
		s.received = map[egretflow.InstanceName]egretflow.PrefillLoad{}
	}
	s.received[from] = load
}

func (s *fakeState) CrashReports(time.Time) []egretflow.CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

func (s *fakeState) MergeCrashReports(reports []egretflow.CrashReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.merged += len(reports)
}

// blocksFrom returns the blocks of the single backlog last received from an instance,
// or -1 if its load does not have exactly one.
func (s *fakeState) blocksFrom(from egretflow.InstanceName) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.received[from].Backlogs; len(b) == 1 {
		return b[0].Blocks
	}
	return -1
}

type discard struct{}

func (discard) Record(egretflow.Event) {}

func newGossiper(t *testing.T, name egretflow.InstanceName, store egretflow.Store, s *fakeState) *Gossiper {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	self := egretflow.Member{Name: name, Address: netip.MustParseAddrPort(conn.LocalAddr().String()), State: egretflow.MemberStateLive}
	return New(Config{Self: self, Incarnation: 1, Conn: conn, Store: store, State: s, Clock: time.Now, Recorder: discard{}})
}

// Guards against instances that do not find each other through the store, against load
// that arrives late or wrong or is not withdrawn when it ends, and against crash
// reports that are sent without end.
func TestInstancesExchangeLoad(t *testing.T) {
	store, a, b := &fakestore.Store{}, &fakeState{}, &fakeState{}
	a.load.Backlogs = []egretflow.Backlog{{Server: "d0", Tokens: 7, Blocks: 30}}
	a.crashes = []egretflow.CrashReport{{Fingerprint: 9, Servers: []egretflow.ServerName{"d0"}, ExpiresAt: time.Now().Add(time.Minute)}}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, g := range []*Gossiper{newGossiper(t, "a", store, a), newGossiper(t, "b", store, b)} {
		wg.Go(func() { _ = g.Run(ctx) })
	}
	defer wg.Wait()
	defer cancel()
	eventually(t, func() bool { return b.blocksFrom("a") == 30 })
	a.mu.Lock()
	a.load = egretflow.PrefillLoad{}
	a.mu.Unlock()
	eventually(t, func() bool { return b.blocksFrom("a") == -1 })
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.merged == 0 || b.merged > crashSends {
		t.Errorf("a crash report was received %d times, want 1 to %d", b.merged, crashSends)
	}
}

// eventually waits far longer than the intervals of this package.
func eventually(t *testing.T, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the expected state was not received within 20 s")
		}
	}
}

// Guards against load that is replaced by a datagram which arrives out of order, comes
// from an earlier process of the sender, or is malformed.
func TestOldDatagramsAreDropped(t *testing.T) {
	s := &fakeState{}
	g := newGossiper(t, "b", &fakestore.Store{}, s)
	defer func() { _ = g.cfg.Conn.Close() }()
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}
	deliver := func(incarnation, sequence uint64, blocks int) {
		data, err := cbor.Marshal(message{From: "a", Incarnation: incarnation, Sequence: sequence, Load: egretflow.PrefillLoad{
			Backlogs: []egretflow.Backlog{{Server: "d0", Blocks: blocks}},
		}})
		if err != nil {
			t.Fatal(err)
		}
		if err := g.handleDatagram(data, from); err != nil {
			t.Fatal(err)
		}
	}
	for _, step := range []struct {
		incarnation, sequence uint64
		blocks, want          int
	}{{5, 2, 20, 20}, {5, 1, 10, 20}, {5, 2, 11, 20}, {4, 9, 12, 20}, {6, 1, 30, 30}} {
		deliver(step.incarnation, step.sequence, step.blocks)
		if got := s.blocksFrom("a"); got != step.want {
			t.Errorf("after message %d of incarnation %d: %d blocks, want %d", step.sequence, step.incarnation, got, step.want)
		}
	}
	if err := g.handleDatagram([]byte("no message"), from); err == nil {
		t.Error("a malformed datagram is accepted")
	}
}

// Guards against a rank outside the fleet, and against datagrams to peers that have
// been silent for longer than peerTimeout.
func TestRankAndPeerExpiry(t *testing.T) {
	g := newGossiper(t, "b", &fakestore.Store{}, &fakeState{})
	defer func() { _ = g.cfg.Conn.Close() }()
	if g.Rank() != 0 || g.Peers() != 0 {
		t.Errorf("alone: rank %d, %d peers", g.Rank(), g.Peers())
	}
	now := time.Now()
	for _, name := range []egretflow.InstanceName{"a", "c", "d"} {
		g.refreshPeer(name, netip.MustParseAddrPort("127.0.0.1:9"), now)
	}
	if rank := g.Rank(); rank < 0 || rank > 3 {
		t.Errorf("rank %d of 4", rank)
	}
	if list := g.livePeerAddresses(now.Add(peerTimeout + time.Second)); len(list) != 0 || g.Peers() != 0 {
		t.Errorf("%d peers are left after peerTimeout", len(list))
	}
}
