package scheduler

import (
	"strconv"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/admitter"
	"github.com/egretflow/egretflow/estimator"
	"github.com/egretflow/egretflow/picker"
)

// maxAssignmentFields is the largest number of fields of an EventAssigned.
const maxAssignmentFields = 22

// idDigits is the length of an id in hex digits. Ids contain no dots, because
// the event ids of streams use dots as separators (4.6).
const idDigits = 16

// newIDs returns two random ids from one allocation.
func (t *task) newIDs() (egretflow.DecisionID, egretflow.AttemptID) {
	var b [2 * idDigits]byte
	hexDigits(b[:idDigits], t.cfg.Rand.Uint64())
	hexDigits(b[idDigits:], t.cfg.Rand.Uint64())
	s := string(b[:])
	return egretflow.DecisionID(s[:idDigits]), egretflow.AttemptID(s[idDigits:])
}

func (t *task) newID() string {
	var b [idDigits]byte
	hexDigits(b[:], t.cfg.Rand.Uint64())
	return string(b[:])
}

// hexDigits fills b with the hex digits of v, the lowest first.
func hexDigits(b []byte, v uint64) {
	for n := range b {
		b[n] = "0123456789abcdef"[v>>(4*n)&15]
	}
}

// record sends an event to the Recorder; work, a and fields may be nil.
func (t *task) record(name egretflow.EventName, work *egretflow.Work, a *egretflow.Assignment, fields []egretflow.EventField) {
	e := egretflow.Event{Name: name, At: t.now, Instance: t.cfg.Instance, Fields: fields}
	if work != nil {
		e.Request = work.Request
	}
	if a != nil {
		e.Attempt, e.Decision = a.Attempt, a.Decision
	}
	t.cfg.Recorder.Record(e)
}

// maxNumbers is the largest number of numbers in an event.
const maxNumbers = 13

// fieldBuffer collects the numbers of an event in one string, so that an event
// needs two allocations: the string and the list of fields.
type fieldBuffer struct {
	buffer [224]byte
	// used is the length of the text in buffer.
	used int
	// ends holds the end of each number in buffer, count their number.
	ends  [maxNumbers]int
	count int
}

func (x *fieldBuffer) appendInt(v int) {
	x.used += len(strconv.AppendInt(x.buffer[x.used:x.used], int64(v), 10))
	x.ends[x.count] = x.used
	x.count++
}

func (x *fieldBuffer) appendMilliseconds(from, to time.Time) {
	x.appendInt(int(to.Sub(from).Milliseconds()))
}

// appendSpeed appends the lasting speed of a server, which may be nil, in percent of
// that of the typical server, its confidence in percent and its age in milliseconds. The
// age is -1 if the speed was not observed.
func (x *fieldBuffer) appendSpeed(s *picker.Server, now time.Time) {
	speed := estimator.Speed{Relative: 1}
	if s != nil {
		speed = s.LastingSpeed(now)
	}
	x.appendInt(int(100*speed.Relative + 0.5))
	x.appendInt(int(100*speed.Confidence + 0.5))
	if speed.ObservedAt.IsZero() {
		x.appendInt(-1)
		return
	}
	x.appendMilliseconds(speed.ObservedAt, now)
}

// field returns number n as a part of s, which is the text in the buffer.
func (x *fieldBuffer) field(s string, n int) string {
	begin := 0
	if n > 0 {
		begin = x.ends[n-1]
	}
	return s[begin:x.ends[n]]
}

// recordAssignment records an assignment and the reason for it: the servers, the
// time that the request waited, the expected times from now on in milliseconds, the expected
// prefix reuse, the slots, the number of candidates, and the lasting speeds of the servers.
func (t *task) recordAssignment(a *attempt) {
	as, pl := a.assignment, &a.placement
	var x fieldBuffer
	x.appendMilliseconds(as.Work.ArrivedAt, t.now)
	x.appendMilliseconds(t.now, pl.PrefillBy)
	x.appendMilliseconds(t.now, pl.TransferBy)
	x.appendMilliseconds(t.now, pl.FirstTokenAt)
	x.appendInt(pl.CachedTokens)
	x.appendInt(pl.Slots)
	x.appendInt(pl.Candidates)
	x.appendSpeed(pl.Prefill, t.now)
	x.appendSpeed(pl.Decode, t.now)
	s := string(x.buffer[:x.used])
	prefill := ""
	if as.Prefill != nil {
		prefill = string(as.Prefill.Name)
	}
	reason := "EarliestFirstToken"
	switch {
	case !t.usesJointPolicy():
		reason = string(t.cfg.Policy)
	case pl.Probe:
		reason = "Probe"
	case pl.Suspect:
		reason = "OnlySuspectsFree"
	}
	fields := append(make([]egretflow.EventField, 0, maxAssignmentFields),
		egretflow.EventField{Key: "Prefill", Value: prefill},
		egretflow.EventField{Key: "Decode", Value: string(as.Decode.Name)},
		egretflow.EventField{Key: "Reason", Value: reason},
		egretflow.EventField{Key: "WaitedMs", Value: x.field(s, 0)},
		egretflow.EventField{Key: "PrefillMs", Value: x.field(s, 1)},
		egretflow.EventField{Key: "TransferMs", Value: x.field(s, 2)},
		egretflow.EventField{Key: "FirstTokenMs", Value: x.field(s, 3)},
		egretflow.EventField{Key: "CachedTokens", Value: x.field(s, 4)},
		egretflow.EventField{Key: "Slots", Value: x.field(s, 5)},
		egretflow.EventField{Key: "Candidates", Value: x.field(s, 6)},
		egretflow.EventField{Key: "PrefillSpeedPercent", Value: x.field(s, 7)},
		egretflow.EventField{Key: "PrefillSpeedConfidencePercent", Value: x.field(s, 8)},
		egretflow.EventField{Key: "PrefillSpeedAgeMs", Value: x.field(s, 9)},
		egretflow.EventField{Key: "DecodeSpeedPercent", Value: x.field(s, 10)},
		egretflow.EventField{Key: "DecodeSpeedConfidencePercent", Value: x.field(s, 11)},
		egretflow.EventField{Key: "DecodeSpeedAgeMs", Value: x.field(s, 12)},
	)
	if pl.Reuse.Tokens > 0 {
		fields = append(fields, reuseFields(&pl.Reuse)...)
	}
	t.record(egretflow.EventAssigned, as.Work, as, fields)
}

// reuseFields returns what the comparison of a kept beginning with the wait rests on:
// whether its server was chosen, the time saved there and the time that the request
// waits longer, the tokens kept, and how sure and how old that knowledge is.
func reuseFields(r *picker.Reuse) []egretflow.EventField {
	decision := "Declined"
	if r.Used {
		decision = "Used"
	}
	var x fieldBuffer
	x.appendInt(int(r.Saved.Milliseconds()))
	x.appendInt(int(r.Wait.Milliseconds()))
	x.appendInt(r.Tokens)
	x.appendInt(int(r.Confidence * 100))
	x.appendInt(int(r.Age.Milliseconds()))
	s := string(x.buffer[:x.used])
	return []egretflow.EventField{
		{Key: "Reuse", Value: decision},
		{Key: "SavedMs", Value: x.field(s, 0)},
		{Key: "ReuseWaitMs", Value: x.field(s, 1)},
		{Key: "KeptTokens", Value: x.field(s, 2)},
		{Key: "KeptPercent", Value: x.field(s, 3)},
		{Key: "KeptForMs", Value: x.field(s, 4)},
	}
}

// recordRefusal records the refusal of a request or of a hedge: the reason and, if
// the expected first token is known, the time from now until it and until the
// target in milliseconds.
func (t *task) recordRefusal(work *egretflow.Work, r *egretflow.Refusal, v admitter.Verdict) {
	fields := []egretflow.EventField{
		{Key: "Reason", Value: string(r.Reason)},
		{Key: "RunState", Value: string(r.RunState)},
		{Key: "Message", Value: r.Message},
		{Key: "Importance", Value: string(work.Importance)},
	}
	if !v.FirstTokenAt.IsZero() {
		var x fieldBuffer
		x.appendMilliseconds(t.now, v.FirstTokenAt)
		x.appendMilliseconds(t.now, work.FirstTokenBy)
		s := string(x.buffer[:x.used])
		fields = append(fields,
			egretflow.EventField{Key: "FirstTokenMs", Value: x.field(s, 0)},
			egretflow.EventField{Key: "TargetMs", Value: x.field(s, 1)})
	}
	if p, ok := t.pools[work.Pool]; ok {
		fields = append(fields, t.loadFields(p)...)
	}
	name := egretflow.EventPlaceRefused
	if work.Hedge {
		// The first attempt of the request still runs.
		name = egretflow.EventHedgeRefused
	}
	t.record(name, work, nil, fields)
}

// loadFields returns the load of a pool at a decision: the decode capacity in use and
// usable, the attempts, the waiting requests, the expected prefill rate, and the
// prompt tokens that the prefill servers have still to compute.
func (t *task) loadFields(p *pool) []egretflow.EventField {
	var x fieldBuffer
	x.appendInt(p.picker.UsedDecodeCapacity())
	x.appendInt(p.totals.DecodeSlots)
	x.appendInt(p.running)
	x.appendInt(p.queue.Len())
	x.appendInt(p.lateQueue.Len())
	x.appendInt(int(p.totals.PrefillRate))
	x.appendInt(int(p.picker.Outstanding()))
	s := string(x.buffer[:x.used])
	return []egretflow.EventField{
		{Key: "Used", Value: x.field(s, 0)},
		{Key: "Usable", Value: x.field(s, 1)},
		{Key: "Running", Value: x.field(s, 2)},
		{Key: "Queued", Value: x.field(s, 3)},
		{Key: "QueuedLate", Value: x.field(s, 4)},
		{Key: "PrefillTokensPerSecond", Value: x.field(s, 5)},
		{Key: "PrefillTokens", Value: x.field(s, 6)},
	}
}

// recordPostponed records that a request misses its target and waits in the late
// queue: the time from now until its expected first token and until its caller
// gives up in milliseconds, and the lengths of both queues.
func (t *task) recordPostponed(w *waiter, v admitter.Verdict) {
	var x fieldBuffer
	x.appendMilliseconds(t.now, v.FirstTokenAt)
	x.appendMilliseconds(t.now, w.work.GiveUpBy)
	x.appendInt(w.pool.queue.Len())
	x.appendInt(w.pool.lateQueue.Len())
	s := string(x.buffer[:x.used])
	t.record(egretflow.EventPostponed, w.work, nil, []egretflow.EventField{
		{Key: "FirstTokenMs", Value: x.field(s, 0)},
		{Key: "GiveUpMs", Value: x.field(s, 1)},
		{Key: "Queued", Value: x.field(s, 2)},
		{Key: "QueuedLate", Value: x.field(s, 3)},
	})
}
