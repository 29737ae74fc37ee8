package frontend_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/egretflow/egretflow/authenticator"
	"github.com/egretflow/egretflow/frontend"
)

// TestOperatorAccess guards against access to the operator interface with a
// caller's key or without a key, and against exposed pprof profiles (12).
func TestOperatorAccess(t *testing.T) {
	run(t, func(env *testEnv) {
		i := env.instances[0]
		env.mustDo(chat(3, true).withHeader("X-Request-Id", "letter-1"))
		operator := frontend.NewOperatorServer(frontend.OperatorServerConfig{
			Operators: authenticator.StaticKeys(map[string]string{"key-o": "operator"}), Explainer: i.explainer,
			Metrics: i.metrics, Ready: i.frontend.Ready, Clock: time.Now,
		})
		for _, tt := range []struct {
			path, key string
			status    int
			contains  string
		}{
			{"/healthz", "", 200, "ok"},
			{"/readyz", "", 200, "ready"},
			{"/metrics", "", 401, ""},
			{"/metrics", "key-v", 401, ""},
			{"/metrics", "key-o", 200, `egretflow_goodput_total{importance="High",route="letters"} 1`},
			{"/explain/letter-1", "key-v", 401, ""},
			{"/explain/letter-1", "key-o", 200, `"FirstToken"`},
			{"/explain/attempt-1-1", "key-o", 200, `"Completed"`},
			{"/explain/nothing", "key-o", 404, ""},
			{"/debug/pprof/", "key-o", 404, ""},
		} {
			r := httptest.NewRequest(http.MethodGet, tt.path, nil)
			if tt.key != "" {
				r.Header.Set("Authorization", "Bearer "+tt.key)
			}
			answer := httptest.NewRecorder()
			operator.ServeHTTP(answer, r)
			if answer.Code != tt.status || !strings.Contains(answer.Body.String(), tt.contains) {
				env.t.Errorf("GET %s with key %q: status %d, want %d with %q: %s", tt.path, tt.key, answer.Code, tt.status, tt.contains, answer.Body)
			}
		}
	})
}
