package explainer

import (
	"strconv"
	"strings"
	"time"

	"github.com/egretflow/egretflow"
)

// timeKey is the beginning of each line that Formatter writes.
const timeKey = "time="

// ParseLine parses a line that Formatter wrote and reports whether it holds an
// event. It ignores text in front of the line, as log collectors add it.
func ParseLine(line string) (egretflow.Event, bool) {
	begin := strings.Index(line, timeKey)
	if begin < 0 {
		return egretflow.Event{}, false
	}
	var e egretflow.Event
	for rest := line[begin:]; rest != ""; {
		var key, value string
		var ok bool
		if key, value, rest, ok = nextPair(rest); !ok {
			return egretflow.Event{}, false
		}
		if err := setField(&e, key, value); err != nil {
			return egretflow.Event{}, false
		}
	}
	return e, e.Name != "" && !e.At.IsZero()
}

// nextPair splits the first key=value pair off s and unquotes its value. ok is
// false if s doesn't begin with a pair.
func nextPair(s string) (key, value, rest string, ok bool) {
	key, rest, ok = strings.Cut(s, "=")
	if !ok || key == "" {
		return "", "", "", false
	}
	if !strings.HasPrefix(rest, `"`) {
		value, rest, _ = strings.Cut(rest, " ")
		return key, value, rest, true
	}
	quoted, err := strconv.QuotedPrefix(rest)
	if err != nil {
		return "", "", "", false
	}
	value, err = strconv.Unquote(quoted)
	return key, value, strings.TrimPrefix(rest[len(quoted):], " "), err == nil
}

// setField stores one key=value pair in e. Keys other than those that line and
// Formatter write become Fields; the level is ignored.
func setField(e *egretflow.Event, key, value string) error {
	switch key {
	case "time":
		at, err := time.Parse(time.RFC3339Nano, value)
		e.At = at
		return err //nolint:wrapcheck // the line is skipped
	case "level":
	case "event":
		e.Name = egretflow.EventName(value)
	case "instance":
		e.Instance = egretflow.InstanceName(value)
	case "request":
		e.Request = egretflow.RequestID(value)
	case "attempt":
		e.Attempt = egretflow.AttemptID(value)
	case "decision":
		e.Decision = egretflow.DecisionID(value)
	default:
		e.Fields = append(e.Fields, egretflow.EventField{Key: key, Value: value})
	}
	return nil
}
