package frontend_test

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/checker"
	"github.com/egretflow/egretflow/explainer"
	"github.com/egretflow/egretflow/frontend"
	"github.com/egretflow/egretflow/recorder"
)

// Guards against a final answer to a caller whose route is missing only because the
// instance decides by an old configuration.
func TestOldConfigurationDeniesNoRoute(t *testing.T) {
	data, err := os.ReadFile("testdata/unknownroutes.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name           string
		Version, Known uint64
		// ConfirmedMS is the age of the last confirmation; negative if there is none.
		ConfirmedMS int
		Status      int
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		state := egretflow.ConfigurationState{Version: c.Version, KnownVersion: c.Known}
		if c.ConfirmedMS >= 0 {
			state.ConfirmedAt = time.Now().Add(-time.Duration(c.ConfirmedMS) * time.Millisecond)
		}
		if got := statusOfUnknownRoute(t, state); got != c.Status {
			t.Errorf("%s: status %d, want %d", c.Name, got, c.Status)
		}
	}
}

// statusOfUnknownRoute returns the status that an instance with a configuration without
// routes answers.
func statusOfUnknownRoute(t *testing.T, state egretflow.ConfigurationState) int {
	metrics, err := recorder.New()
	if err != nil {
		t.Fatal(err)
	}
	events := explainer.New(16, nil)
	f := frontend.New(frontend.Config{
		Instance: "i", Tables: func() *egretflow.Tables { return &egretflow.Tables{Revision: 1} },
		Configuration: func() egretflow.ConfigurationState { return state }, Recorder: events, Checker: checker.New("i", time.Now, events, nil),
		Metrics: metrics, Clock: time.Now, Rand: rand.New(rand.NewPCG(1, 1)), Dialect: emptyDialect{},
	})
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://h/added/1", http.NoBody))
	return w.Code
}
