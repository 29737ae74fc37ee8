package explainer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/egretflow/egretflow"
)

// stage is a part of a request and the event that ends it.
type stage struct {
	endEvent egretflow.EventName
	name     string
}

// stages lists the parts of a request in order, up to the first event of its
// answer.
var stages = []stage{
	{egretflow.EventAssigned, "waiting for a place"},
	{egretflow.EventPrefillDone, "computing the prompt"},
	{egretflow.EventFirstToken, "waiting for the first event"},
}

// answerStage is the part after the first event of the answer. A request without
// a prefill enters it as soon as it is assigned.
const answerStage = "waiting for the rest of the answer"

// Cause returns one sentence that says how the request ended and why. It must
// only be called when Events isn't empty.
func (i *Investigation) Cause() string {
	end := i.lastEvent(egretflow.EventCompleted, egretflow.EventRefused, egretflow.EventCancelled)
	if end == nil {
		return "no end is recorded: the process ended before the request, or the request still runs; it was " + i.currentStage()
	}
	switch end.Name {
	case egretflow.EventCompleted:
		return i.completedCause(end)
	case egretflow.EventCancelled:
		return fmt.Sprintf("the caller left after %s while the request was %s%s", i.elapsed(end), i.currentStage(), i.failureSuffix())
	}
	return i.refusedCause(end)
}

// completedCause names the longest time between two events of a request that was
// served.
func (i *Investigation) completedCause(end *egretflow.Event) string {
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
	return fmt.Sprintf("%s after %s; the longest part, %s, is %s%s", verb, i.elapsed(end), longest.Round(time.Millisecond), where, i.failureSuffix())
}

// refusedCause explains a rejected request or an interrupted answer by the reason
// in its last event.
func (i *Investigation) refusedCause(end *egretflow.Event) string {
	reason := fieldOf(end, "reason")
	cut := ""
	if reason == "" {
		// The event has an outcome instead of a reason: the answer had begun, and
		// the caller received a part of it.
		reason, cut = fieldOf(end, "outcome"), "the answer was cut: "
	}
	switch egretflow.RefusalReason(reason) {
	case egretflow.RefusalOverload:
		return cut + i.overloadCause()
	case egretflow.RefusalDeadline:
		return fmt.Sprintf("%sthe time of the caller or of its route was up after %s while the request was %s%s", cut, i.elapsed(end), i.currentStage(), i.failureSuffix())
	case egretflow.RefusalBackend:
		return cut + "a backend server failed" + i.failureSuffix()
	}
	return cut + reason + ": " + fieldOf(end, "error") + i.failureSuffix()
}

// overloadCause says which first-token time was expected and which was allowed,
// if an event holds them.
func (i *Investigation) overloadCause() string {
	refusal := i.lastEvent(egretflow.EventPlaceRefused)
	if refusal == nil {
		return "no place in time" + i.failureSuffix()
	}
	why := "no place in time: " + fieldOf(refusal, "Message")
	if expected := fieldOf(refusal, "FirstTokenMs"); expected != "" {
		why += fmt.Sprintf(" (the first token was expected in %s ms, allowed were %s ms)", expected, fieldOf(refusal, "TargetMs"))
	}
	return why + i.failureSuffix()
}

// failureSuffix counts the failed attempts and describes the last one. It returns
// the empty string if none failed.
func (i *Investigation) failureSuffix() string {
	f := i.lastEvent(egretflow.EventAttemptFailed)
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

// currentStage names the stage that the last attempt had reached, with its backend
// servers if it was assigned to any.
func (i *Investigation) currentStage() string {
	name := stages[0].name
	for n := range i.Events {
		e := &i.Events[n]
		at := slices.IndexFunc(stages, func(s stage) bool { return s.endEvent == e.Name })
		switch {
		case e.Name == egretflow.EventAdmitted || e.Name == egretflow.EventRetried:
			name = stages[0].name
		case at < 0:
		case at+1 == len(stages) || fieldOf(e, "Prefill") == "" && e.Name == egretflow.EventAssigned:
			name = answerStage
		default:
			name = stages[at+1].name
		}
	}
	if a := i.lastEvent(egretflow.EventAssigned); a != nil && name != stages[0].name {
		name += " at " + strings.Join(i.assignedServers(a), " and ")
	}
	return name
}

// assignedServers returns the names of the prefill and decode servers of an
// EventAssigned.
func (i *Investigation) assignedServers(a *egretflow.Event) []string {
	var names []string
	for _, key := range []string{"Prefill", "Decode"} {
		if name := fieldOf(a, key); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// lastEvent returns the newest event with one of the names, or nil.
func (i *Investigation) lastEvent(names ...egretflow.EventName) *egretflow.Event {
	for n := range slices.Backward(i.Events) {
		if slices.Contains(names, i.Events[n].Name) {
			return &i.Events[n]
		}
	}
	return nil
}

// elapsed returns the time from the first event to end, in whole milliseconds.
func (i *Investigation) elapsed(end *egretflow.Event) time.Duration {
	return end.At.Sub(i.Events[0].At).Round(time.Millisecond)
}
