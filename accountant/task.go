package accountant

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/egretflow/egretflow"
)

// shardCount is the number of shards that the organisations are grouped into. An instance
// sends heartbeats to each owner, so there are few.
const shardCount = 2

// shardOf returns the shard of an organisation.
func shardOf(o egretflow.CallerName) int { return int(xxhash.Sum64String(string(o)) % shardCount) }

// task holds the state of an Accountant. Only the goroutine of Run uses it.
type task struct {
	*Accountant
	now    time.Time
	fleet  fleetSize
	links  [shardCount]*link
	owners [shardCount]*owner
	// suspects holds the members that are passed over and until when.
	suspects   map[egretflow.InstanceName]time.Time
	lastWaiter uint64
	leaving    bool
}

func newTask(a *Accountant) *task {
	now := a.cfg.Clock()
	t := &task{Accountant: a, now: now, fleet: newFleetSize(now), suspects: map[egretflow.InstanceName]time.Time{}}
	for n := range shardCount {
		t.links[n] = &link{shard: n}
		t.owners[n] = newOwner(a.cfg.Tolerance, now, a.recordAt)
		t.owners[n].fixed = a.cfg.Conn == nil
	}
	return t
}

// instances returns the number of instances that shares are computed with.
func (t *task) instances() int {
	t.fleet.observe(t.cfg.Instances(), t.now)
	switch {
	case t.cfg.Conn == nil:
		return t.fleet.known()
	case !t.fleet.contact && t.now.Sub(t.fleet.startedAt) >= settleTime:
		t.fleet.contact = t.cfg.Alone()
	}
	return t.fleet.size(t.now)
}

func (t *task) handle(in input) {
	t.now = t.cfg.Clock()
	switch in := in.(type) {
	case spendInput:
		t.spend(in.waiter)
	case cancelInput:
		t.cancel(in.waiter)
	case refundInput:
		t.refund(in.charge)
	case datagramInput:
		t.handleMessage(in.message, in.from)
	case tablesInput:
		t.apply(in.organisations)
	case statusInput:
		in.list <- t.status()
	case leaveInput:
		t.leave()
	}
}

func (t *task) spend(w *waiter) {
	t.lastWaiter++
	w.id, w.startedAt = t.lastWaiter, t.now
	l := t.links[shardOf(w.organisation)]
	l.waiting = append(l.waiting, w)
}

// cancel ends the wait for a decision. A question that was sent stays, because its charge
// must be refunded if it is granted; so must one that was granted before.
func (t *task) cancel(w *waiter) {
	l := t.links[shardOf(w.organisation)]
	at := slices.Index(l.waiting, w)
	if at < 0 {
		select {
		case <-w.ready:
			if w.result.Granted {
				t.refund(w.charge())
			}
		default:
		}
		return
	}
	w.abandoned = true
	if w.sentIn == 0 {
		l.waiting = slices.Delete(l.waiting, at, at+1)
	}
}

func (t *task) refund(c egretflow.QuotaCharge) {
	l := t.links[shardOf(c.Organisation)]
	if c.Epoch == l.epoch {
		l.addRefund(c.Organisation, c.Cost, c.At)
	}
}

// apply takes the limits of new tables.
func (t *task) apply(organisations []egretflow.Organisation) {
	var quotas [shardCount]map[egretflow.CallerName]egretflow.Quota
	for n := range shardCount {
		quotas[n] = map[egretflow.CallerName]egretflow.Quota{}
	}
	for n := range organisations {
		if o := &organisations[n]; o.Quota != nil {
			quotas[shardOf(o.Name)][o.Name] = *o.Quota
		}
	}
	size := t.instances()
	for n := range shardCount {
		t.owners[n].apply(quotas[n], t.now, size)
		t.links[n].active = len(quotas[n]) > 0
	}
}

func (t *task) status() []egretflow.QuotaStatus {
	var list []egretflow.QuotaStatus
	for _, o := range t.owners {
		list = append(list, o.status(t.now, t.instances())...)
	}
	return list
}

func (t *task) leave() {
	t.leaving = true
	for n := range shardCount {
		t.owners[n].leaving = true
		t.links[n].rankedAt = time.Time{}
	}
}

// tick handles owners that do not answer, and instances that send nothing.
func (t *task) tick() {
	t.now = t.cfg.Clock()
	size := t.instances()
	for n := range shardCount {
		t.owners[n].tick(t.now, size)
		if at, ok := t.links[n].failAt(); ok && !t.now.Before(at) {
			t.failOver(t.links[n])
		}
	}
}

// failOver passes over the owner of l, which does not answer (rule 7).
func (t *task) failOver(l *link) {
	t.record(egretflow.EventQuotaOwnerSilent, "Shard", strconv.Itoa(l.shard), "Owner", string(l.target.Name),
		"SilentMs", strconv.FormatInt(t.now.Sub(l.silentSince).Milliseconds(), 10), "Waiting", strconv.Itoa(len(l.waiting)))
	t.suspects[l.target.Name] = t.now.Add(suspectPeriod)
	l.failovers++
	if l.failovers >= maxFailovers {
		l.failovers, l.selfUntil = 0, t.now.Add(selfPeriod)
	}
	l.rankedAt = time.Time{}
	t.chooseTarget(l)
}

// chooseTarget chooses the owner of l again if that is due, and releases the vote at the
// former one.
func (t *task) chooseTarget(l *link) {
	if t.now.Sub(l.rankedAt) < rankInterval && l.target.Name != "" {
		return
	}
	l.rankedAt = t.now
	next, detached := t.target(l)
	t.setDetached(l, detached)
	if next.Name == l.target.Name {
		l.target = next
		return
	}
	if l.target.Name != "" {
		l.sequence++
		l.released = l.sequence
		t.dispatch(l, l.target, &request{Sequence: l.sequence, Release: true})
		t.record(egretflow.EventQuotaOwnerChanged, "Shard", strconv.Itoa(l.shard), "From", string(l.target.Name), "To", string(next.Name))
	}
	l.retarget(next)
}

func (t *task) setDetached(l *link, detached bool) {
	if l.detached == detached {
		return
	}
	l.detached = detached
	name := egretflow.EventQuotaAttached
	if detached {
		name = egretflow.EventQuotaDetached
	}
	t.record(name, "Shard", strconv.Itoa(l.shard), "Instances", strconv.Itoa(t.instances()))
}

// target returns the owner of l: the first in the ranking that is not passed over, or this
// instance itself. detached reports whether it is that only because no other answers.
func (t *task) target(l *link) (m egretflow.Member, detached bool) {
	if t.cfg.Conn == nil {
		return t.cfg.Self, false
	}
	if t.now.Before(l.selfUntil) {
		return t.cfg.Self, true
	}
	for _, m := range rank(fmt.Sprintf("accountant/%d", l.shard), t.cfg.Members()) {
		if m.Name == t.cfg.Self.Name && t.leaving {
			continue
		}
		if !t.now.Before(t.suspects[m.Name]) {
			return m, false
		}
	}
	return t.cfg.Self, !t.fleet.contact || t.instances() > 1
}

// sendDue sends the messages that are due.
func (t *task) sendDue() {
	for _, l := range t.links {
		for at, ok := l.sendAt(); ok && (l.urgent || !t.now.Before(at)); at, ok = l.sendAt() {
			t.sendState(l)
			if l.target.Name != t.cfg.Self.Name {
				break
			}
		}
	}
}

// sendState sends the state of a link to its owner.
func (t *task) sendState(l *link) {
	t.chooseTarget(l)
	l.resendAfter = min(maxResend, max(minResend, 2*l.resendAfter))
	if l.urgent || l.answered == l.sequence {
		l.resendAfter = minResend
	}
	l.urgent, l.sentAt = false, t.now
	if l.silentSince.IsZero() {
		l.silentSince = t.now
	}
	t.dispatch(l, l.target, l.message(t.now, t.cfg.Tolerance.Window))
}

// untilNext returns the time until the next message or timeout.
func (t *task) untilNext() time.Duration {
	next := t.now.Add(time.Second)
	earlier := func(at time.Time, ok bool) {
		if ok && at.Before(next) {
			next = at
		}
	}
	for _, l := range t.links {
		earlier(l.sendAt())
		earlier(l.failAt())
	}
	return max(0, next.Sub(t.cfg.Clock()))
}

// dispatch sends a request to an owner, which may be this instance.
func (t *task) dispatch(l *link, to egretflow.Member, r *request) {
	size := t.instances()
	m := &message{
		Kind: kindRequest, From: t.cfg.Self.Name, Incarnation: t.cfg.Incarnation, Shard: l.shard,
		Fleet: t.fleet.sizeToState(), Request: r,
	}
	if to.Name != t.cfg.Self.Name {
		t.write(m, AddressOf(to))
		return
	}
	if answer := t.owners[l.shard].handle(m, t.cfg.Incarnation, t.now, size); answer != nil {
		t.applyResponse(l, to.Name, t.cfg.Incarnation, answer)
	}
}

// write sends a message. Errors of the network are ignored: datagrams may be lost anyway,
// and the state is sent again.
func (t *task) write(m *message, to netip.AddrPort) {
	data, err := cbor.Marshal(m)
	if err != nil || len(data) > maxDatagramBytes {
		t.record(egretflow.EventDatagramRefused, "Bytes", strconv.Itoa(len(data)), "To", to.String())
		return
	}
	_, _ = t.cfg.Conn.WriteTo(data, net.UDPAddrFromAddrPort(to))
}

// handleMessage handles a datagram of another instance. An unexpected content must not
// end the process.
func (t *task) handleMessage(m *message, from netip.AddrPort) {
	t.fleet.contact = true
	t.fleet.observeStated(m.From, m.Fleet, t.now)
	if m.Kind == kindResponse {
		t.applyResponse(t.links[m.Shard], m.From, m.Incarnation, m.Response)
		return
	}
	size := t.instances()
	if answer := t.owners[m.Shard].handle(m, t.cfg.Incarnation, t.now, size); answer != nil {
		t.write(&message{
			Kind: kindResponse, From: t.cfg.Self.Name, Incarnation: t.cfg.Incarnation, Shard: m.Shard,
			Fleet: t.fleet.sizeToState(), Response: answer,
		}, from)
	}
}

// applyResponse applies an answer of an owner.
func (t *task) applyResponse(l *link, from egretflow.InstanceName, incarnation uint64, r *response) {
	if r.Released {
		t.endVote(l, from, r.Sequence)
		return
	}
	if l.target.Name != from || r.Sequence > l.sequence || r.Sequence < l.answered || incarnation < l.owner {
		return
	}
	if incarnation != l.owner {
		if l.owner != 0 {
			l.newEpoch()
			l.forgetSent()
		}
		l.ownerStamp = ownerStamp{owner: incarnation}
	}
	if r.Sequence > l.answered || l.stamp == 0 {
		l.stamp, l.stampAt = r.Stamp, t.now
	}
	l.answered, l.failovers = r.Sequence, 0
	delete(t.suspects, from)
	l.acknowledge(r.Refunded)
	if l.silentSince = (time.Time{}); l.answered < l.sequence {
		l.silentSince = l.sentAt
	}
	for n := range r.Results {
		t.applyResult(l, &r.Results[n])
	}
	l.urgent = l.urgent || !r.Decided && (l.active || !l.empty())
	if r.Leaving && from != t.cfg.Self.Name {
		t.suspects[from] = t.now.Add(leavingPeriod)
		l.rankedAt, l.urgent = time.Time{}, l.active || !l.empty()
	}
}

// endVote frees the vote that a former owner has dropped.
func (t *task) endVote(l *link, from egretflow.InstanceName, sequence uint64) {
	if l.voter.Name == from && l.target.Name != from && sequence == l.released {
		l.voteUntil = time.Time{}
	}
}

// forgetSent makes all questions new ones for a restarted owner.
func (l *link) forgetSent() {
	for _, w := range l.waiting {
		w.sentIn = 0
	}
}

// applyResult ends the wait for a decision.
func (t *task) applyResult(l *link, x *result) {
	w := l.take(x.ID)
	if w == nil {
		return
	}
	late := t.now.Sub(w.sentAt) > answerLifetime
	if x.Granted && (w.abandoned || late) {
		l.addRefund(w.organisation, w.cost, w.sentAt)
	}
	switch {
	case w.abandoned:
	case x.Granted && late:
		t.lastWaiter++
		w.id, w.sentIn = t.lastWaiter, 0
		l.waiting = append(l.waiting, w)
	default:
		w.result, w.owner, w.epoch = *x, l.target.Name, l.epoch
		w.ready <- struct{}{}
	}
}
