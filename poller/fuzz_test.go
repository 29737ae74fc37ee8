package poller

import (
	"bytes"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

// Fuzzes load reports: an accepted one has no negative count, a known role and a
// time that is neither in the future nor older than MaxReportAge.
func FuzzDecodeLoad(f *testing.F) {
	f.Add([]byte(`{"running":3,"waiting":1,"free_blocks":100,"total_blocks":4000,"role":"Prefill","draining":true,"measured_at":"2026-01-01T00:00:00Z"}`))
	f.Add([]byte(`{"running":-1}`))
	f.Add([]byte(`{"role":"Cook","measured_at":"9999-12-31T23:59:59Z"}`))
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decodeLoad(bytes.NewReader(data), "s", now)
		if err != nil {
			return
		}
		known := r.Role == "" || r.Role == egretflow.RolePrefill || r.Role == egretflow.RoleDecode || r.Role == egretflow.RoleService
		if r.Running < 0 || r.Waiting < 0 || r.FreeBlocks < 0 || !known || r.MeasuredAt.After(now) || now.Sub(r.MeasuredAt) > MaxReportAge {
			t.Fatalf("report %+v", r)
		}
	})
}
