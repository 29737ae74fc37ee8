package gossiper

import (
	"testing"
	"time"

	"github.com/egretflow/egretflow/internal/fakestore"
)

// Guards against members that register at the same moment, see no other one in the store,
// and go on without each other: each coordinates alone, and none learns what others know of
// crashes.
func TestMembersFindEachOtherOnSlowStore(t *testing.T) {
	for _, latency := range []time.Duration{4 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			slow := func(s *fakestore.Store) { s.SetFaults(fakestore.Faults{Latency: latency}) }
			runFleetOn(t, 3, 1, slow, func(x *fleet) {
				time.Sleep(20 * time.Second)
				for _, i := range x.instances {
					if n := len(i.Members()); n != 3 {
						t.Errorf("%s knows %d members, want 3", i.cfg.Self.Name, n)
					}
				}
			})
		})
	}
}
