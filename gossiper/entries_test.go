package gossiper

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

// Guards against changes of servers that arrive with another start time: they do not
// lead to the fingerprint of the sender, so that each receiver reads the platform.
func TestDeltasKeepTheStartTime(t *testing.T) {
	sent := egretflow.ServersDelta{Revision: 5, Changed: []egretflow.ServerEntry{{Pool: "p", Server: egretflow.Server{
		Name: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Role: egretflow.RoleService, Slots: 6,
		StartedAt: time.UnixMilli(1_700_000_000_123).UTC(),
	}}}}
	data, err := encode(&message{Kind: kindUpdate, From: "i", Confirmed: confirmation{Deltas: []egretflow.ServersDelta{sent}}})
	if err != nil {
		t.Fatal(err)
	}
	m, err := decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if got := m.Confirmed.Deltas[0]; !reflect.DeepEqual(got, sent) {
		t.Errorf("received %+v, sent %+v", got, sent)
	}
}
