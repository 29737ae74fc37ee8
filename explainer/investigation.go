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
	// maxLine bounds one line of a log file.
	maxLine = 1 << 20
	// aroundRequest is how long before and after a request the events of its
	// backend servers and of its instance may explain it.
	aroundRequest = 2 * time.Second
)

// Investigation is what log files tell of a request.
type Investigation struct {
	// Events are those of the request, Around those of its backend servers and
	// instances at that time, both in the order of time.
	Events []egretflow.Event
	Around []egretflow.Event
}

// Investigate reads log files twice: for the events of the request that id
// belongs to, and for those around it. It returns egretflow.ErrNotFound when no
// event has the id.
func Investigate(id string, files []io.ReadSeeker) (*Investigation, error) {
	related, err := relatedTo(id, files)
	if err != nil {
		return nil, err
	}
	i := &Investigation{}
	if err := scan(files, func(e egretflow.Event) {
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
	err = scan(files, func(e egretflow.Event) {
		if i.around(e) {
			i.Around = append(i.Around, e)
		}
	})
	sortEvents(i.Around)
	return i, err
}

// relatedTo returns the requests that an id belongs to.
func relatedTo(id string, files []io.ReadSeeker) (map[egretflow.RequestID]bool, error) {
	related := map[egretflow.RequestID]bool{}
	err := scan(files, func(e egretflow.Event) {
		if e.Request != "" && belongs(&e, id) {
			related[e.Request] = true
		}
	})
	return related, err
}

// belongs reports whether an event names id as its request, attempt, decision or
// as the caller's id.
func belongs(e *egretflow.Event, id string) bool {
	return string(e.Request) == id || string(e.Attempt) == id || string(e.Decision) == id || fieldOf(e, CallerIDField) == id
}

func scan(files []io.ReadSeeker, visit func(e egretflow.Event)) error {
	for _, file := range files {
		if _, err := file.Seek(0, io.SeekStart); err != nil {
			return fmt.Errorf("rewind log: %w", err)
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, maxLine)
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

// around reports whether e concerns an instance or a backend server of the
// request at its time and no request of its own.
func (i *Investigation) around(e egretflow.Event) bool {
	first, last := i.Events[0].At.Add(-aroundRequest), i.Events[len(i.Events)-1].At.Add(aroundRequest)
	if e.Request != "" || e.At.Before(first) || e.At.After(last) || !i.onInstance(e.Instance) {
		return false
	}
	server := serverOf(&e)
	return server == "" || slices.Contains(i.servers(), server)
}

func (i *Investigation) onInstance(name egretflow.InstanceName) bool {
	return slices.ContainsFunc(i.Events, func(e egretflow.Event) bool { return e.Instance == name })
}

// servers returns the backend servers that the request was placed on.
func (i *Investigation) servers() []string {
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

func serverOf(e *egretflow.Event) string {
	if name := fieldOf(e, "Server"); name != "" {
		return name
	}
	return fieldOf(e, "server")
}

func fieldOf(e *egretflow.Event, key string) string {
	for _, f := range e.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// WriteTo writes the events with the time since the first, and the cause.
func (i *Investigation) WriteTo(w io.Writer) (int64, error) {
	var b strings.Builder
	all := slices.Concat(i.Events, i.Around)
	sortEvents(all)
	for _, e := range all {
		fmt.Fprintf(&b, "%+9.3fs %s\n", e.At.Sub(i.Events[0].At).Seconds(), line(e))
	}
	fmt.Fprintf(&b, "cause: %s\n", i.Cause())
	n, err := io.WriteString(w, b.String())
	return int64(n), err //nolint:wrapcheck // as io.WriterTo asks
}
