package explainer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/egretflow/egretflow"
)

// stage is a part of a request.
type stage struct {
	end  egretflow.EventName
	name string
}

// stages are the parts of a request in their order, with the event that ends
// each.
var stages = []stage{
	{egretflow.EventAssigned, "waiting for a place"},
	{egretflow.EventPrefillDone, "computing the prompt"},
	{egretflow.EventFirstToken, "waiting for the first event"},
}

// lastStage is what follows the first event, and of a call without events what
// follows its place.
const lastStage = "waiting for the rest of the answer"

// Cause says in one sentence how the request ended and why.
func (i *Investigation) Cause() string {
	end := i.last(egretflow.EventCompleted, egretflow.EventRefused, egretflow.EventCancelled)
	if end == nil {
		return "no end is recorded: the process ended before the request, or the request still runs; it was " + i.stage()
	}
	switch end.Name {
	case egretflow.EventCompleted:
		return i.completed(end)
	case egretflow.EventCancelled:
		return fmt.Sprintf("the caller left after %s while the request was %s%s", i.took(end), i.stage(), i.lastFailure())
	}
	return i.refused(end)
}

// completed names the longest part of a request that was served.
func (i *Investigation) completed(end *egretflow.Event) string {
	longest, where := time.Duration(0), ""
	for n := range len(i.Events) - 1 {
		if took := i.Events[n+1].At.Sub(i.Events[n].At); took > longest {
			longest, where = took, fmt.Sprintf("between %s and %s", i.Events[n].Name, i.Events[n+1].Name)
		}
	}
	verb := "served"
	if status := fieldOf(end, "status"); strings.HasPrefix(status, "5") || strings.HasPrefix(status, "4") {
		verb = "the backend server answered with status " + status + ", which was passed on,"
	}
	return fmt.Sprintf("%s after %s; the longest part, %s, is %s%s", verb, i.took(end), longest.Round(time.Millisecond), where, i.lastFailure())
}

// refused explains a rejection or a cut answer by its reason.
func (i *Investigation) refused(end *egretflow.Event) string {
	reason := fieldOf(end, "reason")
	cut := ""
	if reason == "" {
		// The answer had begun, so that the caller saw it break off.
		reason, cut = fieldOf(end, "outcome"), "the answer was cut: "
	}
	switch egretflow.RefusalReason(reason) {
	case egretflow.RefusalOverload:
		return cut + i.overload()
	case egretflow.RefusalDeadline:
		return fmt.Sprintf("%sthe time of the caller or of its route was up after %s while the request was %s%s", cut, i.took(end), i.stage(), i.lastFailure())
	case egretflow.RefusalBackend:
		return cut + "a backend server failed" + i.lastFailure()
	}
	return cut + reason + ": " + fieldOf(end, "error") + i.lastFailure()
}

// overload tells by how much the target would have been missed.
func (i *Investigation) overload() string {
	refusal := i.last(egretflow.EventPlaceRefused)
	if refusal == nil {
		return "no place in time" + i.lastFailure()
	}
	why := "no place in time: " + fieldOf(refusal, "Message")
	if expected := fieldOf(refusal, "FirstTokenMs"); expected != "" {
		why += fmt.Sprintf(" (the first token was expected in %s ms, allowed were %s ms)", expected, fieldOf(refusal, "TargetMs"))
	}
	return why + i.lastFailure()
}

// lastFailure names the newest failed attempt, if there was one.
func (i *Investigation) lastFailure() string {
	f := i.last(egretflow.EventAttemptFailed)
	if f == nil {
		return ""
	}
	count := 0
	for n := range i.Events {
		if i.Events[n].Name == egretflow.EventAttemptFailed {
			count++
		}
	}
	return fmt.Sprintf("; %d attempts failed, the last at server %s (%s: %s)", count, serverOf(f), fieldOf(f, "reason"), fieldOf(f, "error"))
}

// stage names what the newest attempt was doing.
func (i *Investigation) stage() string {
	name := stages[0].name
	for n := range i.Events {
		e := &i.Events[n]
		at := slices.IndexFunc(stages, func(s stage) bool { return s.end == e.Name })
		switch {
		case e.Name == egretflow.EventAdmitted || e.Name == egretflow.EventRetried:
			name = stages[0].name
		case at < 0:
		case at+1 == len(stages) || fieldOf(e, "Prefill") == "" && e.Name == egretflow.EventAssigned:
			name = lastStage
		default:
			name = stages[at+1].name
		}
	}
	if a := i.last(egretflow.EventAssigned); a != nil && name != stages[0].name {
		name += " at " + strings.Join(i.placed(a), " and ")
	}
	return name
}

// placed returns the backend servers of an assignment.
func (i *Investigation) placed(a *egretflow.Event) []string {
	var names []string
	for _, key := range []string{"Prefill", "Decode"} {
		if name := fieldOf(a, key); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// last returns the newest event with one of the names.
func (i *Investigation) last(names ...egretflow.EventName) *egretflow.Event {
	for n := range slices.Backward(i.Events) {
		if slices.Contains(names, i.Events[n].Name) {
			return &i.Events[n]
		}
	}
	return nil
}

func (i *Investigation) took(end *egretflow.Event) time.Duration {
	return end.At.Sub(i.Events[0].At).Round(time.Millisecond)
}
