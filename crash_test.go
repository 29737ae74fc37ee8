package egretflow

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"
)

// Guards against verdicts of another writer, or damaged ones, that end the process or block
// what they do not name. Each line of the file is a verdict in JSON after "valid" or
// "invalid".
func TestCrashVerdictChecksItself(t *testing.T) {
	data, err := os.ReadFile("testdata/crash-verdicts.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		kind, text, _ := strings.Cut(strings.TrimSpace(line), " ")
		var v CrashVerdict
		if err := json.Unmarshal([]byte(text), &v); (err == nil) != (kind == "valid") {
			t.Errorf("%s: error %v", line, err)
		}
	}
}

// Guards against a record that grows with the number of verdicts, and one that drops those
// with the most losses.
func TestCrashRecordIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	var r CrashRecord
	for n := range 400 {
		v := CrashVerdict{Servers: []ServerName{"server-with-a-long-name-a", "server-with-a-long-name-b"}, ExpiresAt: now.Add(time.Minute)}
		if n == 399 {
			v.Servers = append(v.Servers, "c")
		}
		for k := range 400 {
			v.Parts = append(v.Parts, PartHash(1<<62+n*1000+k))
		}
		o := CrashRecord{Verdicts: []CrashVerdict{v}}
		r = r.Union(&o, now)
	}
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d verdicts in %d bytes", len(r.Verdicts), len(data))
	if len(data) > 128<<10 || len(r.Verdicts[0].Servers) != 3 {
		t.Errorf("%d bytes, first verdict with %d losses", len(data), len(r.Verdicts[0].Servers))
	}
	if r.Trim(now.Add(time.Hour)); len(r.Verdicts) != 0 {
		t.Errorf("%d expired verdicts are kept", len(r.Verdicts))
	}
}
