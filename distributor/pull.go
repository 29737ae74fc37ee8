package distributor

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/editor"
)

// pullPurpose is the reason for which a pull request is sent.
type pullPurpose string

const (
	// purposeTables pulls tables from a peer that announced them.
	purposeTables pullPurpose = "Tables"
	// purposePush announces this instance's revision (rule 2).
	purposePush pullPurpose = "Push"
	// purposeCompare is the periodic comparison of rule 3.
	purposeCompare pullPurpose = "Compare"
	// purposeStartup asks for the peer's revision only (rule 6).
	purposeStartup pullPurpose = "Startup"
)

// pullResult is the result of one call to a peer.
type pullResult struct {
	peer     egretflow.Member
	purpose  pullPurpose
	sentAt   time.Time
	response *egretflow.PullResponse
	// document and entries are the decoded tables and deltas of response.
	document document
	entries  []*entry
	err      error
}

// pendingPulls holds, by peer, the hints that may still lead to a pull and the
// pulls in flight.
type pendingPulls struct {
	hints map[egretflow.InstanceName]hint
	// inFlight holds the start time of each pull of purposeTables.
	inFlight map[egretflow.InstanceName]time.Time
}

func newPendingPulls() pendingPulls {
	return pendingPulls{
		hints:    map[egretflow.InstanceName]hint{},
		inFlight: map[egretflow.InstanceName]time.Time{},
	}
}

func (p *pendingPulls) idle() bool { return len(p.hints) == 0 && len(p.inFlight) == 0 }

// nextHint returns the hint with the highest revision among the peers without a
// pull in flight, and false if there is none. It deletes hints that are not higher
// than the active revision.
func (p *pendingPulls) nextHint(active egretflow.Revision) (hint, bool) {
	var found hint
	for name, h := range p.hints {
		if h.revision <= active {
			delete(p.hints, name)
			continue
		}
		if _, asked := p.inFlight[name]; asked {
			continue
		}
		if order := cmp.Compare(h.revision, found.revision); order > 0 || order == 0 && name < found.from.Name {
			found = h
		}
	}
	return found, found.revision > 0
}

// mayStart reports whether another pull may start: the first one at once, a
// second one when the first has been in flight for hedgeAfter. At most two pulls
// are in flight.
func (p *pendingPulls) mayStart(now time.Time, hedgeAfter time.Duration) bool {
	for _, since := range p.inFlight {
		if len(p.inFlight) > 1 || now.Before(since.Add(hedgeAfter)) {
			return false
		}
	}
	return true
}

func (t *task) addHint(ctx context.Context, h hint) {
	if !h.from.Address.IsValid() {
		for _, m := range t.all {
			if m.Name == h.from.Name {
				h.from = m
			}
		}
	}
	if h.from.Name == "" || h.from.Name == t.cfg.Self.Name || !h.from.Address.IsValid() {
		return
	}
	t.pulls.hints[h.from.Name] = h
	t.pullFromHints(ctx)
}

// pullFromHints starts a pull if a peer has a higher revision and mayStart allows
// it.
func (t *task) pullFromHints(ctx context.Context) {
	h, ok := t.pulls.nextHint(t.active.load().revision())
	if !ok || !t.pulls.mayStart(t.cfg.Clock(), t.cfg.Timing.HedgeAfter) {
		return
	}
	t.pulls.inFlight[h.from.Name] = t.cfg.Clock()
	t.sendPull(ctx, h.from, purposeTables)
}

// sendPull sends a pull request to peer in a separate goroutine, which sends the
// result to the task.
func (t *task) sendPull(ctx context.Context, peer egretflow.Member, purpose pullPurpose) {
	request := &egretflow.PullRequest{
		Above:    t.active.load().revision(),
		From:     t.cfg.Self.Name,
		Revision: t.active.load().revision(),
		Full:     t.needFull,
	}
	if purpose == purposeStartup {
		request.Above = math.MaxUint64
	}
	t.spawn(func() {
		r := pullResult{peer: peer, purpose: purpose, sentAt: t.cfg.Clock()}
		callCtx, cancel := context.WithTimeout(ctx, t.cfg.Timing.PullTimeout)
		defer cancel()
		r.response, r.err = t.cfg.Peers.Pull(callCtx, peer, request)
		if r.err == nil {
			r.err = r.decode()
		}
		select {
		case t.results <- r:
		case <-ctx.Done():
		}
	})
}

// decode decodes the tables or deltas of the response.
func (r *pullResult) decode() (err error) {
	if len(r.response.Tables) > 0 {
		r.document, err = decodeDocument(r.response.Tables)
		return err
	}
	r.entries = make([]*entry, len(r.response.Deltas))
	for n, data := range r.response.Deltas {
		if r.entries[n], err = decodeEntry(data); err != nil {
			return err
		}
	}
	return nil
}

func decodeDocument(data []byte) (document, error) {
	tables, err := editor.DecodeDocument(data)
	if err != nil {
		return document{}, fmt.Errorf("decode tables: %w", err)
	}
	return newDocument(tables, data), nil
}

func (t *task) handleResult(ctx context.Context, r pullResult) {
	switch r.purpose {
	case purposeTables:
		delete(t.pulls.inFlight, r.peer.Name)
		delete(t.pulls.hints, r.peer.Name)
	case purposeStartup:
		t.startupPending--
	case purposeCompare:
		if contains(t.watchers[domainOf(r.peer)], r.peer.Name) {
			t.askOtherDomain = r.err != nil || !r.response.Confirmed
		}
	}
	if r.err == nil {
		t.handleResponse(ctx, r)
	}
	t.pullFromHints(ctx)
}

func (t *task) handleResponse(ctx context.Context, r pullResult) {
	if r.document.tables != nil {
		t.accept(ctx, r.document, nil, string(r.peer.Name))
	}
	for _, e := range r.entries {
		if !t.acceptDelta(ctx, e, string(r.peer.Name)) {
			t.needFull = true
			break
		}
	}
	if r.document.tables == nil && r.response.Revision > t.active.load().revision() {
		t.pulls.hints[r.peer.Name] = hint{r.peer, r.response.Revision}
	}
	s := t.active.load()
	same := r.response.Revision == s.revision() && r.response.EditID == s.editID()
	older := r.response.Revision < s.revision()
	if r.response.Confirmed && s.tables != nil && (same || older) {
		t.active.confirm(r.sentAt, false)
	}
}
