package crashdetector

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

// scriptRun runs a script on two detectors. Its lines begin with a time in seconds and
// are applied to the first detector, or to the second one after "peer":
//
//	# why: the failure that the script guards against
//	T [peer] crash server=NAME [started=T] [progress=N] [shared=true] parts=H,...  a server was lost
//	T [peer] begun parts=H,...                            an answer has begun
//	T [peer] advanced from=N to=N parts=H,...             an answer went on
//	T [peer] ended from=N parts=H,...                     an answer went on to its end
//	T [peer] want parts=H,... verdict=V [part=H] [losses=N]
//	T report | T peer-report                              the reports of one reach the other
type scriptRun struct {
	*testing.T
	own, peer *Detector
}

// Runs each script in testdata/parts. The "why" line of a script names the failure that
// it guards against.
func TestPartScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/parts/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			r := &scriptRun{T: t, own: New(), peer: New()}
			for line := range strings.Lines(string(data)) {
				if !strings.HasPrefix(line, "#") {
					r.step(strings.TrimSpace(line))
				}
			}
		})
	}
}

func (r *scriptRun) step(line string) {
	words := strings.Fields(line)
	now, d := r.time(words[0]), r.own
	if words[1] == "peer" {
		words, d = words[1:], r.peer
	}
	values := map[string]string{}
	for _, w := range words[2:] {
		key, value, _ := strings.Cut(w, "=")
		values[key] = value
	}
	parts := r.parts(values["parts"])
	switch words[1] {
	case "crash":
		d.RecordPartLoss(parts, Loss{Server: egretflow.ServerName(values["server"]), Progress: r.number(values["progress"]), Shared: values["shared"] == "true"}, r.time(values["started"]), now)
	case "begun":
		d.AnswerAdvanced(0, parts, 0, 1, now)
	case "advanced":
		d.AnswerAdvanced(0, parts, r.number(values["from"]), r.number(values["to"]), now)
	case "ended":
		d.AnswerAdvanced(0, parts, r.number(values["from"]), WholeAnswer, now)
	case "report":
		r.peer.Merge(r.own.Reports(now), now)
	case "peer-report":
		r.own.Merge(r.peer.Reports(now), now)
	case "want":
		r.check(line, d, parts, values, now)
	default:
		r.Fatalf("unknown line %q", line)
	}
}

func (r *scriptRun) check(line string, d *Detector, parts []egretflow.PartHash, values map[string]string, now time.Time) {
	part, verdict := d.PartVerdict(parts, now)
	if string(verdict) != values["verdict"] {
		r.Errorf("%s: verdict %s", line, verdict)
	}
	if want := values["part"]; want != "" && part.String() != want {
		r.Errorf("%s: part %v", line, part)
	}
	if want := values["losses"]; want != "" && strconv.Itoa(d.PartLosses(parts[len(parts)-1], now)) != want {
		r.Errorf("%s: %d losses", line, d.PartLosses(parts[len(parts)-1], now))
	}
}

// time returns the time of a script, or the zero time for an empty text.
func (r *scriptRun) time(text string) time.Time {
	if text == "" {
		return time.Time{}
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		r.Fatal(err)
	}
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// number returns the value of text, or zero for an empty one.
func (r *scriptRun) number(text string) int {
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		r.Fatal(err)
	}
	return n
}

func (r *scriptRun) parts(list string) []egretflow.PartHash {
	var parts []egretflow.PartHash
	for text := range strings.SplitSeq(list, ",") {
		if text == "" {
			continue
		}
		hash, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			r.Fatal(err)
		}
		parts = append(parts, egretflow.PartHash(hash))
	}
	return parts
}

// Guards against memory that grows with the number of different parts, and against a
// blocked part that is forgotten because many others have losses.
func TestPartMemoryIsBounded(t *testing.T) {
	d := New()
	d.RecordPartLoss([]egretflow.PartHash{1}, Loss{Server: "a"}, at(0), at(1))
	d.RecordPartLoss([]egretflow.PartHash{1}, Loss{Server: "b"}, at(2), at(3))
	for n := range egretflow.PartHash(5 * maxSoundParts) {
		d.RecordPartLoss([]egretflow.PartHash{2 * n}, Loss{Server: "c"}, at(4), at(5))
		d.AnswerAdvanced(0, []egretflow.PartHash{2*n + 3}, 0, 1, at(5))
	}
	if len(d.parts) > maxParts || len(d.sound)+len(d.formerSound) > 2*maxSoundParts {
		t.Errorf("%d parts with losses and %d+%d sound parts are kept", len(d.parts), len(d.sound), len(d.formerSound))
	}
	if _, v := d.PartVerdict([]egretflow.PartHash{1}, at(4)); v != Reject || d.PartLosses(1, at(4)) != 2 {
		t.Errorf("verdict on the blocked part is %s, with %d losses", v, d.PartLosses(1, at(4)))
	}
}

// Guards against a request that stays isolated for its whole answer after a loss that
// another request on the server caused, and against one that crashes servers while
// they answer and is cleared each time that an answer begins.
func TestBegunAnswerClearsEarlyLossesOnly(t *testing.T) {
	d := New()
	d.RecordLoss(1, Loss{Server: "a"}, at(0))
	d.RecordLoss(2, Loss{Server: "a", Progress: 1}, at(0))
	d.AnswerAdvanced(1, nil, 0, 1, at(1))
	d.AnswerAdvanced(2, nil, 0, 1, at(1))
	if v := d.Verdict(1, at(2)); v != Allow {
		t.Errorf("verdict %s after an early loss", v)
	}
	if v := d.Verdict(2, at(2)); v != Separate {
		t.Errorf("verdict %s after a loss during an answer", v)
	}
}

// Guards against a report that names a part twice, and so makes another suspect set each
// time that it comes, or one without servers that ends the process.
func TestMergeOfOddReports(t *testing.T) {
	d := New()
	r := egretflow.CrashReport{Fingerprint: 7, Others: []egretflow.PartHash{7, 5, 5}, Servers: []egretflow.ServerName{"a", "b"}, ExpiresAt: at(600), Part: true}
	for n := range 5 {
		d.Merge([]egretflow.CrashReport{r, {Fingerprint: 8, ExpiresAt: at(600), Part: true}}, at(n))
	}
	if len(d.sets) != 1 || len(d.sets[0].members) != 2 {
		t.Errorf("%d suspect sets", len(d.sets))
	}
	if _, v := d.PartVerdict([]egretflow.PartHash{5, 7}, at(1)); v != Reject {
		t.Errorf("verdict %s", v)
	}
}
