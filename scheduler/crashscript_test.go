package scheduler

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/picker"
)

// crashScript runs a script of crashes on four prefill servers, a to d, and four decode
// servers, e to h. Its lines begin with a time in milliseconds:
//
//	# why: the failure that the script guards against
//	T start NAME server=S parts=H,...      a request starts on a decode server
//	T adopt NAME server=S parts=H,... [generated=N]   an attempt of another scheduler is taken over
//	T begin NAME                           the answer of a request begins
//	T end NAME                             the answer of a request ends complete
//	T crash NAME                           a request reports that its decode server crashed
//	T want parts=H,... verdict=V [part=H]
type crashScript struct {
	*driver
	start   time.Time
	running map[string]*egretflow.Assignment
}

// Runs each script in testdata/crashes. The "why" line of a script names the failure
// that it guards against.
func TestCrashScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/crashes/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			d := newDriver(t, 4, 4)
			s := &crashScript{driver: d, start: d.now, running: map[string]*egretflow.Assignment{}}
			for line := range strings.Lines(string(data)) {
				if !strings.HasPrefix(line, "#") {
					s.step(strings.TrimSpace(line))
				}
			}
		})
	}
}

func (s *crashScript) step(line string) {
	words := strings.Fields(line)
	s.pass(s.start.Add(time.Duration(s.number(words[0], 10)) * time.Millisecond).Sub(s.now))
	values := map[string]string{}
	for _, w := range words[2:] {
		key, value, _ := strings.Cut(w, "=")
		values[key] = value
	}
	parts, server := s.parts(values["parts"]), egretflow.ServerName(values["server"])
	name := words[2]
	a := s.running[name]
	switch words[1] {
	case "start":
		s.running[name] = s.startOn(server, parts)
	case "adopt":
		s.running[name] = s.adoptOn(name, server, parts, values["generated"])
	case "begin":
		s.observe(egretflow.ObservationTokens, a.Decode.Name, a)
	case "end":
		s.complete(a)
	case "crash":
		s.observe(egretflow.ObservationCrashed, a.Decode.Name, a)
		s.release(a)
	case "want":
		part, verdict := s.task.crashes.PartVerdict(parts, s.now)
		if string(verdict) != values["verdict"] || values["part"] != "" && values["part"] != part.String() {
			s.Errorf("%s: verdict %s, part %v", line, verdict, part)
		}
	default:
		s.Fatalf("unknown line %q", line)
	}
}

// startOn starts a request on a decode server, by keeping the others from new work
// until it runs.
func (s *crashScript) startOn(server egretflow.ServerName, parts []egretflow.PartHash) *egretflow.Assignment {
	p := s.task.orderedPools[0].picker
	setOthers := func(unavailable bool) {
		p.Servers(func(other *picker.Server) {
			if other.Role() == egretflow.RoleDecode && other.Spec.Name != server {
				p.SetUnavailable(other, unavailable, s.now)
			}
		})
	}
	setOthers(true)
	w := s.acquire(s.withParts(parts...))
	setOthers(false)
	if w.assignment == nil {
		s.Fatalf("no assignment on %s: %v", server, w.err)
	}
	return w.assignment
}

func (s *crashScript) adoptOn(name string, server egretflow.ServerName, parts []egretflow.PartHash, generated string) *egretflow.Assignment {
	work := testWork(name)
	s.withParts(parts...)(work)
	a := &egretflow.Adoption{Attempt: egretflow.AttemptID(name), Work: work, Decode: server, Generated: int(s.number(generated, 10))}
	if !s.task.adopt(a) {
		s.Fatalf("%s is not adopted", name)
	}
	return s.task.attempts[a.Attempt].assignment
}

// parts returns the parts of a comma-separated list of hexadecimal numbers.
func (s *crashScript) parts(list string) []egretflow.PartHash {
	var parts []egretflow.PartHash
	for text := range strings.SplitSeq(list, ",") {
		if text != "" {
			parts = append(parts, egretflow.PartHash(s.number(text, 16)))
		}
	}
	return parts
}

// number returns the value of text, or zero for an empty one.
func (s *crashScript) number(text string, base int) uint64 {
	if text == "" {
		return 0
	}
	n, err := strconv.ParseUint(text, base, 64)
	if err != nil {
		s.Fatal(err)
	}
	return n
}
