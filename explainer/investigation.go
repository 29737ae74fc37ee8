package explainer

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// maxLineBytes bounds one line of a log file; a longer one is an error.
	maxLineBytes = 1 << 20
	// aroundMargin is the time before the first and after the last event of a
	// request in which events of its instances and backend servers are included.
	aroundMargin = 2 * time.Second
)

// Investigation holds the events of log files that concern a request.
type Investigation struct {
	// Events holds the events of the request, sorted by time.
	Events []egretflow.Event
	// Around holds the events of its instances and backend servers at that time
	// that belong to no request, sorted by time.
	Around []egretflow.Event
}

// Investigate searches log files for the request with the given id, which may be
// the id of the request, of one of its attempts or decisions, or the X-Request-Id
// of its caller. It reads each file three times: for the ids of the request, for
// its events and for the events around it. It returns egretflow.ErrNotFound when no
// event has the id.
func Investigate(id string, files []io.ReadSeeker) (*Investigation, error) {
	related, err := matchingRequests(id, files)
	if err != nil {
		return nil, err
	}
	i := &Investigation{}
	if err := scanEvents(files, func(e egretflow.Event) {
		if related[e.Request] || string(e.Attempt) == id || string(e.Decision) == id {
			i.Events = append(i.Events, e)
		}
	}); err != nil {
		return nil, err
	}
	if len(i.Events) == 0 {
		return nil, fmt.Errorf("events of %s: %w", id, egretflow.ErrNotFound)
	}
	sortEvents(i.Events)
	err = scanEvents(files, func(e egretflow.Event) {
		if i.isAround(e) {
			i.Around = append(i.Around, e)
		}
	})
	sortEvents(i.Around)
	return i, err
}

// matchingRequests returns the requests that have an event with the id.
func matchingRequests(id string, files []io.ReadSeeker) (map[egretflow.RequestID]bool, error) {
	related := map[egretflow.RequestID]bool{}
	err := scanEvents(files, func(e egretflow.Event) {
		if e.Request != "" && hasID(&e, id) {
			related[e.Request] = true
		}
	})
	return related, err
}

// hasID reports whether id is the request, attempt or decision of the event or the
// X-Request-Id of its caller.
func hasID(e *egretflow.Event, id string) bool {
	return string(e.Request) == id || string(e.Attempt) == id || string(e.Decision) == id || fieldOf(e, CallerIDField) == id
}

// scanEvents calls visit with each event in the files. It skips lines that ParseLine
// rejects.
func scanEvents(files []io.ReadSeeker, visit func(e egretflow.Event)) error {
	for _, file := range files {
		if _, err := file.Seek(0, io.SeekStart); err != nil {
			return fmt.Errorf("rewind log: %w", err)
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, maxLineBytes)
		for lines.Scan() {
			if e, ok := ParseLine(lines.Text()); ok {
				visit(e)
			}
		}
		if err := lines.Err(); err != nil {
			return fmt.Errorf("read log: %w", err)
		}
	}
	return nil
}

func sortEvents(events []egretflow.Event) {
	slices.SortStableFunc(events, func(a, b egretflow.Event) int { return a.At.Compare(b.At) })
}

// isAround reports whether e belongs to no request, happened on an instance of this
// request within aroundMargin of its events, and concerns no backend server or one
// that this request was assigned to.
func (i *Investigation) isAround(e egretflow.Event) bool {
	first, last := i.Events[0].At.Add(-aroundMargin), i.Events[len(i.Events)-1].At.Add(aroundMargin)
	if e.Request != "" || e.At.Before(first) || e.At.After(last) || !i.onInstance(e.Instance) {
		return false
	}
	server := serverOf(&e)
	return server == "" || slices.Contains(i.allServers(), server)
}

func (i *Investigation) onInstance(name egretflow.InstanceName) bool {
	return slices.ContainsFunc(i.Events, func(e egretflow.Event) bool { return e.Instance == name })
}

// allServers returns the names of all backend servers that the request was
// assigned to.
func (i *Investigation) allServers() []string {
	var names []string
	for n := range i.Events {
		for _, key := range []string{"Prefill", "Decode"} {
			if name := fieldOf(&i.Events[n], key); name != "" && !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// serverOf returns the backend server that e concerns, or the empty string. Some
// components write the key as Server, others as server.
func serverOf(e *egretflow.Event) string {
	if name := fieldOf(e, "Server"); name != "" {
		return name
	}
	return fieldOf(e, "server")
}

// fieldOf returns the value of the first field with the key, or the empty string.
func fieldOf(e *egretflow.Event, key string) string {
	for _, f := range e.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// WriteTo writes the events, each with its time since the first event of the
// request in seconds, and then the cause.
func (i *Investigation) WriteTo(w io.Writer) (int64, error) {
	var b strings.Builder
	all := slices.Concat(i.Events, i.Around)
	sortEvents(all)
	for _, e := range all {
		fmt.Fprintf(&b, "%+9.3fs %s\n", e.At.Sub(i.Events[0].At).Seconds(), line(e))
	}
	fmt.Fprintf(&b, "cause: %s\n", i.Cause())
	n, err := io.WriteString(w, b.String())
	return int64(n), err //nolint:wrapcheck // io.WriterTo returns the writer's error
}
