package coordinator

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/egretflow/egretflow"
)

// readEarlier returns a datagram that an earlier version wrote.
func readEarlier(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "earlier", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a rolling upgrade in which instances of two versions drop each other's
// datagrams or misread them: what an earlier version wrote is read, and written again byte
// for byte behind the tags that it skips.
func TestEarlierDatagrams(t *testing.T) {
	for _, name := range []string{"request.cbor", "response.cbor"} {
		data := readEarlier(t, name)
		m, reads, err := decode(data)
		if err != nil || reads != layoutFields {
			t.Fatalf("%s: layout %d, error %v", name, reads, err)
		}
		if r := m.Request; r != nil {
			if w := r.Waiting[0].Work.work(m.Pool, time.Unix(1000, 0)); w.Caller != "*" || len(w.Prefix) != 2 || !w.Retry || w.FirstTokenBy.Unix() != 1001 {
				t.Errorf("%s: read as %+v", name, w)
			}
		}
		again, err := encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if want := append(bytes.Repeat(layoutTag, 2), data...); !bytes.Equal(again, want) {
			t.Errorf("%s: written as %x, want %x", name, again, want)
		}
	}
}

// Guards against lengths of kept beginnings that are sent to an instance of an earlier
// version, which would drop the datagram, and against hashes without their lengths.
func TestReducedRequestKeepsEarlierLayout(t *testing.T) {
	m, _, err := decode(readEarlier(t, "request.cbor"))
	if err != nil {
		t.Fatal(err)
	}
	w := &m.Request.Waiting[0].Work
	w.Prefix, w.PrefixEnds = []egretflow.PrefixHash{4}, []int{200}
	data, err := encode(m)
	if err != nil {
		t.Fatal(err)
	}
	if got, reads, err := decode(data); err != nil || reads != presentLayout || got.Request.Waiting[0].Work.PrefixEnds[0] != 200 {
		t.Errorf("present layout: %d, error %v", reads, err)
	}
	m.Request.reduce(layoutFields)
	if data, err = encode(m); err != nil {
		t.Fatal(err)
	}
	got, _, err := decode(data)
	if err != nil || len(got.Request.Waiting[0].Work.Prefix) != 0 || len(got.Request.Running[0].Work.Prefix) != 2 {
		t.Errorf("reduced request: %+v, error %v", got, err)
	}
}

// Guards against instances of earlier versions that drop the datagrams of this one, because
// they begin with more tags than those versions know.
func TestEarlierVersionsSkipTags(t *testing.T) {
	data := append(bytes.Repeat(layoutTag, int(presentLayout)), readEarlier(t, "request.cbor")...)
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil || m.Request == nil || len(m.Request.Waiting) == 0 {
		t.Errorf("read %+v, error %v", m, err)
	}
}
