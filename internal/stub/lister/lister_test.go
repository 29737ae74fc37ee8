package lister

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/fault"
)

func do(l *Lister, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	l.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// listedStates returns the names and states that GET /targets lists, as
// space-separated name=state pairs.
func listedStates(t *testing.T, l *Lister) string {
	t.Helper()
	var targets []struct {
		Targets []netip.AddrPort
		Labels  map[string]string
	}
	w := do(l, http.MethodGet, "/targets", "")
	if err := json.Unmarshal(w.Body.Bytes(), &targets); err != nil {
		t.Fatalf("decode %q: %v", w.Body, err)
	}
	var all []string
	for _, target := range targets {
		all = append(all, fmt.Sprintf("%s=%s", target.Labels["Name"], target.Labels["State"]))
	}
	return strings.Join(all, " ")
}

// Guards against changes that appear before the lag has passed or while the
// list is stalled.
func TestChangesAppearAfterLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{Lag: 5 * time.Second, Entries: []Entry{{
			Name: "a", Address: netip.MustParseAddrPort("10.0.0.1:80"), State: egretflow.MemberStateLive, Kind: KindInstance,
		}}})
		check := func(want string) {
			t.Helper()
			if got := listedStates(t, l); got != want {
				t.Errorf("list %q, want %q", got, want)
			}
		}
		for _, body := range []string{
			`{"Name":"a","Address":"10.0.0.1:80","State":"Leaving","Kind":"Instance"}`,
			`{"Name":"b","Address":"10.0.0.2:80","State":"Live","Kind":"BackendServer"}`,
		} {
			if w := do(l, http.MethodPost, "/entries", body); w.Code != http.StatusNoContent {
				t.Fatalf("status %d: %s", w.Code, w.Body)
			}
		}
		time.Sleep(5*time.Second - time.Nanosecond)
		check("a=Live")
		time.Sleep(time.Nanosecond)
		check("a=Leaving b=Live")
		do(l, http.MethodDelete, "/entries/a", "")
		l.Faults.Add(fault.Fault{Kind: fault.Stall, Until: time.Now().Add(time.Minute)})
		time.Sleep(30 * time.Second)
		check("a=Leaving b=Live")
		time.Sleep(30 * time.Second)
		check("b=Live")
	})
}

// Guards against an invalid entry being listed instead of rejected with 400.
func TestRejectsInvalidEntries(t *testing.T) {
	l := New(Config{})
	for _, body := range []string{
		`{`,
		`{"Name":"","Address":"10.0.0.2:80","State":"Live","Kind":"Instance"}`,
		`{"Name":"b","State":"Live","Kind":"Instance"}`,
		`{"Name":"b","Address":"10.0.0.2:80","State":"Dead","Kind":"Instance"}`,
		`{"Name":"b","Address":"10.0.0.2:80","State":"Live","Kind":"Pod"}`,
	} {
		if w := do(l, http.MethodPost, "/entries", body); w.Code != http.StatusBadRequest {
			t.Errorf("%s: status %d", body, w.Code)
		}
	}
}
