package relayer

import (
	"testing"

	"github.com/egretflow/egretflow"
)

// Guards against a Last-Event-ID that resumes an answer at another event: an accepted
// id must be equal after formatting and parsing it, and have no negative numbers.
func FuzzParseEventID(f *testing.F) {
	f.Add("0123456789abcdef-01234567.attempt-1.moshi-4.0+12")
	f.Add(EventID{Request: "r.1", Attempt: "a", Server: "s.example", Base: 3, Offset: 4}.String())
	f.Add("...+")
	f.Fuzz(func(t *testing.T, text string) {
		e, err := ParseEventID(text)
		if err != nil {
			return
		}
		again, err := ParseEventID(e.String())
		if err != nil || again != e || e.Base < 0 || e.Offset < 0 {
			t.Fatalf("%q parses as %+v, its text form as %+v, error %v", text, e, again, err)
		}
	})
}

// Guards against load reports of engines with negative counts, which must not reach
// the scheduler.
func FuzzLoadHeader(f *testing.F) {
	f.Add(`JSON {"named_metrics": {"running": 3, "waiting": 0, "free_blocks": 100}}`)
	f.Add(`JSON {"named_metrics": {"running": -3}}`)
	f.Add(`TEXT named_metrics.running=3`)
	f.Fuzz(func(t *testing.T, header string) {
		report, ok := decodeLoadHeader(header, &egretflow.Server{Name: "s", Role: egretflow.RoleDecode})
		if ok && (report.Running < 0 || report.Waiting < 0 || report.FreeBlocks < 0 || report.Server != "s") {
			t.Fatalf("%q parses as %+v", header, report)
		}
	})
}
