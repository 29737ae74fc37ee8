package crashkeeper

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/crashdetector"
	"github.com/egretflow/egretflow/internal/fakestore"
)

// memory is an egretflow.CrashMemory of one instance.
type memory struct {
	mu sync.Mutex
	d  *crashdetector.Detector
}

func (m *memory) CrashRecord(now time.Time) egretflow.CrashRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.d.Record(now)
}

func (m *memory) RestoreCrashes(r egretflow.CrashRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.d.Restore(r, time.Now())
}

type discard struct{}

func (discard) Record(egretflow.Event) {}

// instance is an instance of a script.
type instance struct {
	memory *memory
	keeper *Keeper
	stop   context.CancelFunc
}

// scriptRun runs a script on instances that share a store, in virtual time. Its lines
// begin with a time in seconds:
//
//	# why: the failure that the script guards against
//	T start NAME,...                        instances start with an empty memory
//	T stop NAME,...                         instances lose power
//	T crash NAME server=S parts=H,... | request=H   a server is lost
//	T report FROM,TO                        the reports of one instance reach another
//	T store outage=true|false               the store goes away or comes back
//	T store latency=MS                      each call takes so long
//	T store lost=N                          the answers to the next writes are lost
//	T forget                                the store loses the verdicts
//	T garble                                the value in the store cannot be read
//	T want NAME parts=H,... | request=H verdict=V
//	T want store parts=H,... losses=N       what the store has; 0 losses: nothing
//	T calls at-most=N                       calls of all instances to the store so far
type scriptRun struct {
	*testing.T
	store     *fakestore.Store
	instances map[string]*instance
	start     time.Time
	seed      uint64
}

// Runs each script in testdata. The "why" line of a script names the failure that it
// guards against.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			synctest.Test(t, func(t *testing.T) {
				r := &scriptRun{T: t, store: &fakestore.Store{}, instances: map[string]*instance{}, start: time.Now()}
				for line := range strings.Lines(string(data)) {
					if !strings.HasPrefix(line, "#") {
						r.step(strings.Fields(line))
					}
				}
				for _, x := range r.instances {
					x.stop()
				}
			})
		})
	}
}

func (r *scriptRun) step(words []string) {
	seconds, err := strconv.ParseFloat(words[0], 64)
	if err != nil {
		r.Fatal(err)
	}
	time.Sleep(time.Until(r.start.Add(time.Duration(seconds * float64(time.Second)))))
	synctest.Wait()
	values, name := map[string]string{}, ""
	for _, w := range words[2:] {
		if key, value, ok := strings.Cut(w, "="); ok {
			values[key] = value
		} else {
			name = w
		}
	}
	switch words[1] {
	case "start":
		for n := range strings.SplitSeq(name, ",") {
			r.startInstance(n)
		}
	case "stop":
		for n := range strings.SplitSeq(name, ",") {
			r.instances[n].stop()
		}
	case "crash":
		r.crash(r.instances[name], values)
	case "report":
		from, to, _ := strings.Cut(name, ",")
		r.report(r.instances[from].memory, r.instances[to])
	case "store":
		r.store.SetFaults(fakestore.Faults{
			Outage: values["outage"] == "true", LostResponses: r.number(values["lost"]), Latency: time.Duration(r.number(values["latency"])) * time.Millisecond,
		})
	case "forget":
		r.write(egretflow.StoreWrite{Key: Key, Delete: true})
	case "garble":
		r.write(egretflow.StoreWrite{Key: Key, Value: []byte("{")})
	case "calls":
		if total := r.calls(); total > r.number(values["at-most"]) {
			r.Errorf("%v: %d calls", words, total)
		}
	case "want":
		r.check(name, values, words)
	default:
		r.Fatalf("unknown line %q", words)
	}
}

func (r *scriptRun) calls() int {
	total := 0
	for _, n := range r.store.Calls() {
		total += n
	}
	return total
}

func (r *scriptRun) startInstance(name string) {
	ctx, stop := context.WithCancel(context.Background())
	r.seed++
	x := &instance{memory: &memory{d: crashdetector.New()}, stop: stop}
	x.keeper = New(Config{
		Instance: egretflow.InstanceName(name), Store: r.store, Memory: x.memory, Clock: time.Now, Rand: rand.New(rand.NewPCG(r.seed, 1)), Recorder: discard{},
	})
	go x.keeper.Run(ctx) //nolint:errcheck // Run always returns nil.
	r.instances[name] = x
}

func (r *scriptRun) crash(x *instance, values map[string]string) {
	x.memory.mu.Lock()
	defer x.memory.mu.Unlock()
	before, loss := x.memory.d.Verdicts(), crashdetector.Loss{Server: egretflow.ServerName(values["server"])}
	if request := values["request"]; request != "" {
		x.memory.d.RecordLoss(uint64(r.parts(request)[0]), loss, time.Now())
	} else {
		x.memory.d.RecordPartLoss(r.parts(values["parts"]), loss, time.Now(), time.Now())
	}
	if x.memory.d.Verdicts() != before {
		x.keeper.Wake()
	}
}

func (r *scriptRun) report(from *memory, to *instance) {
	from.mu.Lock()
	reports := from.d.Reports(time.Now())
	from.mu.Unlock()
	to.memory.mu.Lock()
	defer to.memory.mu.Unlock()
	before := to.memory.d.Verdicts()
	if to.memory.d.Merge(reports, time.Now()); to.memory.d.Verdicts() != before {
		to.keeper.Wake()
	}
}

func (r *scriptRun) write(w egretflow.StoreWrite) {
	if _, err := r.store.Commit(r.Context(), egretflow.StoreTxn{Writes: []egretflow.StoreWrite{w}}); err != nil {
		r.Fatal(err)
	}
}

func (r *scriptRun) check(name string, values map[string]string, words []string) {
	parts := r.parts(values["parts"])
	if name == "store" {
		if got := r.storedLosses(parts); got != r.number(values["losses"]) {
			r.Errorf("%v: %d losses", words, got)
		}
		return
	}
	m := r.instances[name].memory
	m.mu.Lock()
	defer m.mu.Unlock()
	var verdict crashdetector.Verdict
	if request := values["request"]; request != "" {
		verdict = m.d.Verdict(uint64(r.parts(request)[0]), time.Now())
	} else {
		_, verdict = m.d.PartVerdict(parts, time.Now())
	}
	if string(verdict) != values["verdict"] {
		r.Errorf("%v: verdict %s", words, verdict)
	}
}

// storedLosses returns the losses of the verdict on parts in the store.
func (r *scriptRun) storedLosses(parts []egretflow.PartHash) int {
	entry, err := r.store.Get(r.Context(), Key)
	if err != nil {
		return 0
	}
	var record egretflow.CrashRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		r.Error(err)
	}
	for _, v := range record.Verdicts {
		if slices.Equal(v.Parts, parts) {
			return len(v.Servers)
		}
	}
	return 0
}

func (r *scriptRun) parts(list string) []egretflow.PartHash {
	var parts []egretflow.PartHash
	for text := range strings.SplitSeq(list, ",") {
		if hash, err := strconv.ParseUint(text, 16, 64); err == nil {
			parts = append(parts, egretflow.PartHash(hash))
		}
	}
	return parts
}

func (r *scriptRun) number(text string) int {
	n, _ := strconv.Atoi(text)
	return n
}
