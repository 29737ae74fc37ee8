package gossiper

import (
	"net"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

// checkingFollower fails the test on a confirmation that is newer than its arrival.
type checkingFollower struct {
	fakeFollower
	t   *testing.T
	now time.Time
}

func (f *checkingFollower) ApplyConfirmation(c egretflow.Confirmation) {
	if c.ReadAt.After(f.now) || c.ConfirmedAt.After(f.now) {
		f.t.Fatalf("confirmed at %v, received at %v", c.ConfirmedAt, f.now)
	}
}

// Guards against a datagram that ends the process, or that keeps an instance from
// reading the platform because it looks newer than it is.
func FuzzDatagram(f *testing.F) {
	for _, m := range []message{
		{Kind: kindMember, From: "a", Incarnation: 1, Sequence: 1, Confirmed: confirmation{AgeMS: 5}, Crashes: []crash{{LeftMS: 9}}},
		{Kind: kindMember, From: "a", Incarnation: 1, Sequence: 1, Confirmed: confirmation{AgeMS: 1 << 62}},
		{Kind: kindMember, From: "a", Incarnation: 1, Sequence: 1, Confirmed: confirmation{AgeMS: 9_300_000_000_000}},
		{Kind: kindUpdate, From: "a", Incarnation: 1, Sequence: 1, Crashes: []crash{{LeftMS: 1 << 62}}},
	} {
		data, err := encode(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.Unix(1_700_000_000, 0)
		g := New(Config{Self: egretflow.Member{Name: "b"}, State: &fakeState{}, Clock: func() time.Time { return now }, Recorder: discard{}})
		g.Follow(&checkingFollower{t: t, now: now})
		if g.handleDatagram(data, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}) != nil {
			return
		}
		sent, err := encode(g.memberMessage(ownState{}, now).message)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decode(sent); err != nil {
			t.Fatalf("the datagram that lists what was received is refused: %v", err)
		}
	})
}
