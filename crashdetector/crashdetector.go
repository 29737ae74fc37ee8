// Package crashdetector finds requests that crash the servers that run them
// (5.6).
//
// # Usage
//
//	d := crashdetector.New()
//	d.Charge(work.Fingerprint, "decode-3", now) // for each request on the lost server
//	switch d.Verdict(work.Fingerprint, now) {
//	case crashdetector.Reject: // refuse it
//	case crashdetector.Isolate: // run it on a server without other suspects
//	}
//	d.Clear(work.Fingerprint) // it completed
//
// # Rules
//
//  1. Every request that a lost server was running is charged with it. One loss
//     is charged once, however many attempts report it.
//  2. A request with one loss is a suspect. Suspects run on separate servers,
//     so that the next loss charges only one of them.
//  3. A request with MaxLosses losses is rejected until RejectFor has passed.
//  4. A request that completes is cleared of the losses it had. Reports of
//     peers about the same losses do not bring them back.
package crashdetector

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// MaxLosses is the number of lost servers after which a request is
	// rejected.
	MaxLosses = 2
	// RejectFor is how long charges are kept after the last loss.
	RejectFor = 10 * time.Minute
	// sameLoss is the time in which reports about one server are one loss. A
	// restarted engine is not ready again within it.
	sameLoss = 2 * time.Second
	// maxEntries bounds memory. One lost server charges about 20 requests.
	maxEntries = 1024
	// maxReports bounds the bytes of one exchange.
	maxReports = 64
	// maxServers bounds the servers kept per entry.
	maxServers = 4
)

// Verdict says how a request may run.
type Verdict string

// The verdicts.
const (
	Allow   Verdict = "Allow"
	Isolate Verdict = "Isolate"
	Reject  Verdict = "Reject"
)

type entry struct {
	// servers lists the losses. A server occurs twice when it was lost twice.
	servers   []egretflow.ServerName
	cleared   int
	chargedAt time.Time
	expiresAt time.Time
}

func (e *entry) losses() int { return len(e.servers) - e.cleared }

// Detector holds the charges. It is not safe for concurrent use.
type Detector struct {
	entries map[uint64]*entry
}

// New returns an empty Detector.
func New() *Detector { return &Detector{entries: map[uint64]*entry{}} }

// Charge notes that server was lost while it ran the request.
func (d *Detector) Charge(fingerprint uint64, server egretflow.ServerName, now time.Time) {
	e := d.at(fingerprint, now)
	if slices.Contains(e.servers, server) && now.Sub(e.chargedAt) < sameLoss {
		return
	}
	e.add(server)
	e.chargedAt, e.expiresAt = now, now.Add(RejectFor)
}

func (e *entry) add(server egretflow.ServerName) {
	if len(e.servers) == maxServers {
		if e.cleared == 0 {
			return
		}
		e.servers = slices.Delete(e.servers, 0, 1)
		e.cleared--
	}
	e.servers = append(e.servers, server)
}

// at returns the entry of fingerprint and makes room for it if necessary.
func (d *Detector) at(fingerprint uint64, now time.Time) *entry {
	if e, ok := d.entries[fingerprint]; ok && now.Before(e.expiresAt) {
		return e
	}
	if len(d.entries) >= maxEntries {
		d.evict(now)
	}
	e := &entry{}
	d.entries[fingerprint] = e
	return e
}

// evict drops the expired entries or else the one that matters least.
func (d *Detector) evict(now time.Time) {
	var least uint64
	var worst *entry
	for fingerprint, e := range d.entries {
		if !now.Before(e.expiresAt) {
			delete(d.entries, fingerprint)
			continue
		}
		if worst == nil || matters(worst, e, least < fingerprint) {
			least, worst = fingerprint, e
		}
	}
	if len(d.entries) >= maxEntries {
		delete(d.entries, least)
	}
}

// matters reports whether a matters more than b. The tie keeps the choice
// independent of the order of the map.
func matters(a, b *entry, tie bool) bool {
	if a.losses() != b.losses() {
		return a.losses() > b.losses()
	}
	if !a.expiresAt.Equal(b.expiresAt) {
		return a.expiresAt.After(b.expiresAt)
	}
	return tie
}

// Verdict says how the request may run.
func (d *Detector) Verdict(fingerprint uint64, now time.Time) Verdict {
	e, ok := d.entries[fingerprint]
	switch {
	case !ok || !now.Before(e.expiresAt) || e.losses() <= 0:
		return Allow
	case e.losses() >= MaxLosses:
		return Reject
	}
	return Isolate
}

// ExpiresAt returns when the charges of the request end; zero without any.
func (d *Detector) ExpiresAt(fingerprint uint64) time.Time {
	if e, ok := d.entries[fingerprint]; ok {
		return e.expiresAt
	}
	return time.Time{}
}

// Clear notes that the request completed, so its losses had another cause.
func (d *Detector) Clear(fingerprint uint64) {
	if e, ok := d.entries[fingerprint]; ok {
		e.cleared = len(e.servers)
	}
}

// Reports lists the charges to pass on, those with most losses first.
func (d *Detector) Reports(now time.Time) []egretflow.CrashReport {
	var reports []egretflow.CrashReport
	for fingerprint, e := range d.entries {
		if !now.Before(e.expiresAt) {
			delete(d.entries, fingerprint)
			continue
		}
		if e.losses() > 0 {
			reports = append(reports, egretflow.CrashReport{Fingerprint: fingerprint, Servers: slices.Clone(e.servers), ExpiresAt: e.expiresAt})
		}
	}
	slices.SortFunc(reports, compareReports)
	return reports[:min(len(reports), maxReports)]
}

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

// Merge takes the reports of a peer. Each server counts as often as the side
// that saw it lost most often.
func (d *Detector) Merge(reports []egretflow.CrashReport, now time.Time) {
	for _, r := range reports {
		if !now.Before(r.ExpiresAt) || r.ExpiresAt.After(now.Add(2*RejectFor)) {
			continue
		}
		e := d.at(r.Fingerprint, now)
		for n, server := range r.Servers {
			if count(e.servers, server) < count(r.Servers[:n+1], server) {
				e.add(server)
				e.chargedAt = now
			}
		}
		if r.ExpiresAt.After(e.expiresAt) {
			e.expiresAt = r.ExpiresAt
		}
	}
}

func count(servers []egretflow.ServerName, server egretflow.ServerName) int {
	n := 0
	for _, s := range servers {
		if s == server {
			n++
		}
	}
	return n
}
