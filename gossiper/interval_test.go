package gossiper

import (
	"testing"
	"time"
)

// Guards against use that is told so late that instances place their requests on
// the same engine memory, and against messages without a bound in a large fleet.
func TestIntervalFollowsTheFleet(t *testing.T) {
	for _, test := range []struct {
		peers  int
		atMost time.Duration
	}{{0, SendInterval}, {7, SendInterval}, {59, 100 * time.Millisecond}, {689, 2 * time.Second}} {
		got := interval(test.peers)
		if got > test.atMost {
			t.Errorf("%d peers are told every %v, want %v at most", test.peers, got, test.atMost)
		}
		if perSecond := float64(test.peers) / got.Seconds(); perSecond > MaxDatagrams+1 {
			t.Errorf("%d peers: %.0f datagrams a second, want %d at most", test.peers, perSecond, MaxDatagrams)
		}
	}
}
