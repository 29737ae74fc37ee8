package gossiper

import (
	"testing"
	"time"
)

// Guards against load that reaches the peers so late that several instances place
// requests on the same engine memory, and against a rate of datagrams that grows with
// the fleet.
func TestIntervalGrowsWithPeers(t *testing.T) {
	for _, test := range []struct {
		peers  int
		atMost time.Duration
	}{{0, SendInterval}, {7, SendInterval}, {59, 100 * time.Millisecond}, {689, 2 * time.Second}} {
		got := interval(test.peers)
		if got > test.atMost {
			t.Errorf("%d peers are sent a message every %v, want %v at most", test.peers, got, test.atMost)
		}
		if perSecond := float64(test.peers) / got.Seconds(); perSecond > MaxDatagramsPerSecond+1 {
			t.Errorf("%d peers: %.0f datagrams a second, want %d at most", test.peers, perSecond, MaxDatagramsPerSecond)
		}
	}
}
