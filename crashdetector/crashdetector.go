// Package crashdetector finds requests, and parts of prompts, that crash the servers
// that run them (5.6).
//
// # Usage
//
//	d := crashdetector.New()
//	// for each request on the lost server
//	loss := crashdetector.Loss{Server: "decode-3", Progress: tokens}
//	d.RecordLoss(work.Fingerprint, loss, now)
//	d.RecordPartLoss(work.Parts, loss, startedAt, now)
//	switch d.Verdict(work.Fingerprint, now) {
//	case crashdetector.Reject: // refuse it
//	case crashdetector.Separate: // run it on a server without other suspects, if there is one
//	case crashdetector.Isolate: // only run it on a server without other suspects
//	}
//	d.PartVerdict(work.Parts, now) // the same for the parts of its prompt
//	d.AnswerAdvanced(work.Fingerprint, work.Parts, before, tokens, now)
//	d.Clear(work.Fingerprint) // it completed
//	d.Record(now)             // the verdicts that must outlast this process
//
// # Rules
//
//  1. When a server is lost, the loss is charged to every request that it was
//     running. One loss is charged to a request once, however many attempts
//     report it.
//  2. A request with one loss is a suspect. Suspects run on separate servers as far
//     as there are free ones, so that the next loss is charged to only one of them.
//     They do not wait for that: most were running beside the cause by chance.
//  3. A request with MaxLosses losses is rejected until RejectFor has passed since
//     the last one. If another suspect may explain its second loss, it needs one
//     more, and runs only on servers without another suspect until then.
//  4. When a request completes, its losses so far no longer count. Reports of
//     peers about the same losses do not make them count again. Losses that all came
//     before an answer had begun no longer count once one begins.
//  5. A loss is also charged to the parts of the prompt, with the progress of the
//     answer, which is the depth of the loss. Parts that were sound before are charged
//     too, because a part may begin to crash servers later.
//  6. A loss no longer counts against a part once another answer with the part gets
//     beyond its depth. An answer that gets less far shows nothing.
//  7. A part counts one loss for the attempts that ran at the same time: servers that
//     fail together for another reason are no evidence of a second crash. If another
//     request on the lost server explains the loss (Suspicion), it counts only for
//     parts that have none.
//  8. A part with one loss is a suspect unless an earlier answer with it got beyond the
//     depth. Its requests run one at a time, until one of them gets beyond the depth.
//  9. The parts of a request that have the most losses, MaxLosses or more, make a
//     suspect set. Parts that were sound before are left out if others were not. Only
//     requests with all members are rejected. Those with some of them run as in rule 8:
//     one that gets beyond the depth removes its parts from the set, and one that loses
//     its server removes the others. The set explains the losses of other parts. One
//     whose members all were sound before is weak: it explains and convicts less.
//  10. Some time after the last loss one request with all members runs as a trial:
//     after firstTrialAfter, or earlyTrialAfter if the set is weak. If it
//     gets beyond the depth, the verdict ends. If it crashes a server, the next trial is
//     later, and after the last of trialDelays there is none until the losses expire.
//  11. Reports to peers list suspect sets with all losses, and suspects with one. The
//     report of a suspect only makes a part a suspect. The members of a set that is too
//     large for a report are reported as suspects.
//  12. Record returns the verdicts, and Restore adds those of a record. Which parts are
//     sound, and single losses, are kept in memory alone.
package crashdetector

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// MaxLosses is the number of losses from which on a request is rejected, unless
	// another suspect may explain the last of them, and parts make a suspect set.
	MaxLosses = 2
	// RejectFor is how long the losses of a request are kept after the last one.
	RejectFor = 10 * time.Minute
	// sameLossWindow is the time in which reports about one server count as one
	// loss. A restarted engine takes longer than this to be ready again.
	sameLossWindow = 2 * time.Second
	// maxEntries bounds the requests with losses that are kept. One lost server
	// adds about 20.
	maxEntries = 1024
	// maxReports bounds the reports in one message to a peer.
	maxReports = 64
	// maxServers bounds the losses kept per request.
	maxServers = 4
)

// Verdict says how a request may run.
type Verdict string

// A request may run on any server, on one without other suspects if there is one, only
// on a server without other suspects, or not at all.
const (
	Allow    Verdict = "Allow"
	Separate Verdict = "Separate"
	Isolate  Verdict = "Isolate"
	Reject   Verdict = "Reject"
)

// Loss is the loss of a server that was running a request.
type Loss struct {
	Server egretflow.ServerName
	// At is when the loss was first noticed, for whichever request. It is used for parts,
	// and zero means now.
	At time.Time
	// Progress is how much of the answer the server had sent, in tokens; 0 if it had
	// sent none.
	Progress int
	// Shared reports whether other suspects may have been running on the server. For
	// parts, whether another request that was running there explains the loss.
	Shared bool
	// Caused reports whether another request that was running there has all members of
	// a suspect set that is not weak. The loss then says nothing of the parts.
	Caused bool
}

// entry holds the losses of one request.
type entry struct {
	// servers holds one server per loss, oldest first. A server occurs twice when
	// it was lost twice.
	servers []egretflow.ServerName
	// cleared is the number of losses, from the oldest on, that no longer count.
	cleared int
	// lostAt holds when the newest loss of each server was added.
	lostAt    map[egretflow.ServerName]time.Time
	expiresAt time.Time
	// afterStart reports whether a loss that counts came after an answer had begun.
	afterStart bool
	// shared reports whether another suspect may explain the second loss.
	shared bool
	// own reports whether this Detector recorded one of the losses itself.
	own bool
}

// losses returns the number of losses that count.
func (e *entry) losses() int { return len(e.servers) - e.cleared }

// table holds the losses of requests by fingerprint.
type table map[uint64]*entry

// Detector holds the losses of requests and of parts. It is not safe for concurrent
// use.
type Detector struct {
	entries table
	parts   map[egretflow.PartHash]*partEntry
	// sets holds the verdicts on parts, oldest first.
	sets []*suspectSet
	// sound holds the newest answers with each part, and formerSound the generation
	// before.
	sound       map[egretflow.PartHash]soundPart
	formerSound map[egretflow.PartHash]soundPart
	// verdicts counts the changes of verdicts that this Detector made itself, or
	// contributed a loss to.
	verdicts uint64
}

// New returns an empty Detector.
func New() *Detector {
	return &Detector{entries: table{}, parts: map[egretflow.PartHash]*partEntry{}, sound: map[egretflow.PartHash]soundPart{}}
}

// RecordLoss records that a server was lost while it ran the request.
func (d *Detector) RecordLoss(fingerprint uint64, l Loss, now time.Time) {
	e := d.entries.entryFor(fingerprint, now)
	e.afterStart = e.afterStart || l.Progress > 0
	if !e.recordLoss(l.Server, now) {
		return
	}
	e.own = true
	if e.losses() == MaxLosses {
		e.shared = l.Shared
	}
	if e.losses() >= MaxLosses {
		d.verdicts++
	}
}

// recordLoss adds a loss unless it is the same as an earlier one, and reports whether
// it did.
func (e *entry) recordLoss(server egretflow.ServerName, now time.Time) bool {
	if slices.Contains(e.servers, server) && now.Sub(e.lostAt[server]) < sameLossWindow {
		return false
	}
	e.addLoss(server, now)
	e.expiresAt = now.Add(RejectFor)
	return true
}

// addLoss adds a loss. An entry with maxServers losses drops its oldest one if that
// was cleared, and otherwise stays as it is.
func (e *entry) addLoss(server egretflow.ServerName, now time.Time) {
	e.lostAt[server] = now
	if len(e.servers) == maxServers {
		if e.cleared == 0 {
			return
		}
		e.servers = slices.Delete(e.servers, 0, 1)
		e.cleared--
	}
	e.servers = append(e.servers, server)
}

// entryFor returns the entry of key. If there is none, or if it has
// expired, it adds a new one and evicts others if necessary.
func (t table) entryFor(key uint64, now time.Time) *entry {
	if e, ok := t[key]; ok && now.Before(e.expiresAt) {
		return e
	}
	if len(t) >= maxEntries {
		t.evict(now)
	}
	e := &entry{lostAt: map[egretflow.ServerName]time.Time{}}
	t[key] = e
	return e
}

// evict removes the expired entries or, if that frees none, the lowest-ranked one.
func (t table) evict(now time.Time) {
	var victimKey uint64
	var victim *entry
	for key, e := range t {
		if !now.Before(e.expiresAt) {
			delete(t, key)
			continue
		}
		if victim == nil || outranks(victim, e, victimKey < key) {
			victimKey, victim = key, e
		}
	}
	if len(t) >= maxEntries {
		delete(t, victimKey)
	}
}

// outranks reports whether a is kept rather than b: the entry with more losses, then
// the one that expires later. If both are equal it returns tie, which makes the
// choice independent of the iteration order of the map.
func outranks(a, b *entry, tie bool) bool {
	if a.losses() != b.losses() {
		return a.losses() > b.losses()
	}
	if !a.expiresAt.Equal(b.expiresAt) {
		return a.expiresAt.After(b.expiresAt)
	}
	return tie
}

// Verdict returns how the request may run.
func (d *Detector) Verdict(fingerprint uint64, now time.Time) Verdict {
	e, ok := d.entries[fingerprint]
	switch {
	case !ok || !now.Before(e.expiresAt) || e.losses() <= 0:
		return Allow
	case e.losses() < MaxLosses:
		return Separate
	case e.losses() == MaxLosses && e.shared:
		return Isolate
	}
	return Reject
}

// ExpiresAt returns when the losses of the request expire, or the zero time if it
// has none.
func (d *Detector) ExpiresAt(fingerprint uint64) time.Time {
	if e, ok := d.entries[fingerprint]; ok {
		return e.expiresAt
	}
	return time.Time{}
}

// Clear records that the request completed, so its losses had another cause.
func (d *Detector) Clear(fingerprint uint64) {
	if e, ok := d.entries[fingerprint]; ok {
		e.clear()
	}
}

// clear makes the losses so far no longer count.
func (e *entry) clear() {
	e.cleared, e.afterStart, e.shared = len(e.servers), false, false
}

// Reports returns the losses to send to peers, at most maxReports requests and parts,
// those with the most lost servers first.
func (d *Detector) Reports(now time.Time) []egretflow.CrashReport {
	reports := append(d.entries.reports(now), d.partReports(now)...)
	slices.SortFunc(reports, compareReports)
	return reports[:min(len(reports), maxReports)]
}

func (t table) reports(now time.Time) []egretflow.CrashReport {
	var reports []egretflow.CrashReport
	for key, e := range t {
		if !now.Before(e.expiresAt) {
			delete(t, key)
			continue
		}
		if e.losses() > 0 {
			reports = append(reports, egretflow.CrashReport{
				Fingerprint: key, Servers: slices.Clone(e.servers[e.cleared:]), ExpiresAt: e.expiresAt, Shared: e.shared,
			})
		}
	}
	return reports
}

// compareReports orders reports by the number of servers, then by expiry, both
// descending, then by fingerprint.
func compareReports(a, b egretflow.CrashReport) int {
	if n := len(b.Servers) - len(a.Servers); n != 0 {
		return n
	}
	if n := b.ExpiresAt.Compare(a.ExpiresAt); n != 0 {
		return n
	}
	if a.Fingerprint < b.Fingerprint {
		return -1
	}
	return 1
}

// Merge applies the reports of a peer. For each server the higher number of losses
// counts: that of this instance or that of the peer. Reports that have expired, or
// that expire more than 2*RejectFor from now, are ignored.
func (d *Detector) Merge(reports []egretflow.CrashReport, now time.Time) {
	for _, r := range reports {
		if !now.Before(r.ExpiresAt) || r.ExpiresAt.After(now.Add(2*RejectFor)) {
			continue
		}
		if r.Part {
			d.mergePart(&r, now)
			continue
		}
		d.mergeRequest(&r, now)
	}
}

// mergeRequest applies a valid report about a request.
func (d *Detector) mergeRequest(r *egretflow.CrashReport, now time.Time) {
	e := d.entries.entryFor(r.Fingerprint, now)
	before := e.losses()
	e.merge(r, now)
	if e.own && e.losses() >= MaxLosses && e.losses() > before {
		d.verdicts++
	}
	if r.ExpiresAt.After(e.expiresAt) {
		e.expiresAt = r.ExpiresAt
	}
}

// merge adds the losses of a report that e lacks. The second loss is shared unless one
// instance that knows both losses says that it is not.
func (e *entry) merge(r *egretflow.CrashReport, now time.Time) {
	known := e.losses()
	for n, server := range r.Servers {
		if count(e.servers, server) < count(r.Servers[:n+1], server) {
			e.addLoss(server, now)
		}
	}
	switch {
	case e.losses() != MaxLosses:
	case e.losses() == len(r.Servers):
		e.shared = r.Shared && (e.shared || known < MaxLosses)
	case known < MaxLosses:
		e.shared = true
	}
}

// count returns how often server occurs in servers.
func count(servers []egretflow.ServerName, server egretflow.ServerName) int {
	n := 0
	for _, s := range servers {
		if s == server {
			n++
		}
	}
	return n
}
