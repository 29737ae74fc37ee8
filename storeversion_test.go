package egretflow_test

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/egretflow/egretflow"
)

// Guards against versions of two eras that are ordered by their revisions alone, and
// against fencing tokens that fall, or are given out twice, from one era to the next.
func TestStoreVersions(t *testing.T) {
	data, err := os.ReadFile("testdata/store-versions.json")
	if err != nil {
		t.Fatal(err)
	}
	// Ascending lists versions from the oldest to the newest one.
	var cases struct {
		Ascending []egretflow.StoreVersion
		NoFencing []egretflow.StoreVersion
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	var last uint64
	for n, v := range cases.Ascending {
		for m, o := range cases.Ascending {
			if v.After(o) != (n > m) || (v == o) != (n == m) || v.Later(o) != cases.Ascending[max(n, m)] {
				t.Errorf("%s against %s: after %t, later %s", v, o, v.After(o), v.Later(o))
			}
		}
		token, err := v.Fencing()
		if err != nil || n > 0 && token <= last || uint64(float64(token)) != token {
			t.Errorf("token of %s is %d after %d, error %v", v, token, last, err)
		}
		last = token
	}
	for _, v := range cases.NoFencing {
		if token, err := v.Fencing(); err == nil {
			t.Errorf("token of %s is %d, want an error", v, token)
		}
	}
}

// Guards against messages between this build and the one before that cannot be read: the
// other one decodes a version as an integer, and sends one.
func TestStoreVersionBesideEarlierBuild(t *testing.T) {
	for _, v := range []egretflow.StoreVersion{{}, {Revision: 58}, {Era: 1, Revision: 33}, {Era: 8191, Revision: 1 << 39}} {
		data, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		var same egretflow.StoreVersion
		if err := cbor.Unmarshal(data, &same); err != nil || same != v {
			t.Errorf("%s is decoded as %s, error %v", v, same, err)
		}
		var revision int64
		if err := cbor.Unmarshal(data, &revision); err != nil || revision != v.Revision {
			t.Errorf("%s is decoded as %d by the build before, error %v", v, revision, err)
		}
		if data, err = cbor.Marshal(revision); err != nil {
			t.Fatal(err)
		}
		var other egretflow.StoreVersion
		if err := cbor.Unmarshal(data, &other); err != nil || other != (egretflow.StoreVersion{Revision: v.Revision}) {
			t.Errorf("%d of the build before is decoded as %s, error %v", revision, other, err)
		}
	}
	for _, bad := range []any{"7", []int{7}, cbor.Tag{Number: 5, Content: 7}, cbor.Tag{Number: 1 << 40, Content: 7}, cbor.Tag{Number: 1<<16 + 2, Content: "7"}} {
		data, err := cbor.Marshal(bad)
		if err != nil {
			t.Fatal(err)
		}
		var v egretflow.StoreVersion
		if err := cbor.Unmarshal(data, &v); err == nil {
			t.Errorf("%v is decoded as %s", bad, v)
		}
	}
}
