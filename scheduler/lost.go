package scheduler

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/picker"
)

const (
	// lostPeriod is how long an engine takes no work after it refused a connection
	// or stopped responding. Engines need some seconds to start again.
	lostPeriod = time.Second
	// replacedPeriod is how long an engine takes no work after another one answered
	// at its address. By then the registration of the former engine has ended.
	replacedPeriod = 4 * time.Second
)

// lostServer is an engine that cannot be reached. It must take no work: its memory
// looks free, so every request would be sent to it first.
type lostServer struct {
	// until is when the engine is tried again.
	until  time.Time
	source lossSource
}

// lossSource says how this instance learned of a loss.
type lossSource string

const (
	// sourceAnswer means that a refused connection or the answer of another server
	// proves the loss. Only such losses are reported to peers.
	sourceAnswer lossSource = "Answer"
	// sourceSilence means that the server did not answer. The cause may be the
	// link of this instance, so the loss is not reported to
	// peers.
	sourceSilence lossSource = "Silence"
	// sourcePeer means that a peer reported the loss. It is not forwarded.
	sourcePeer lossSource = "Peer"
)

// observeLoss marks the engine s as lost if the observation shows that an attempt
// could not reach it. This is done only for model pools with
// picker.SharingCoordinated.
func (t *task) observeLoss(p *pool, s *picker.Server, o *egretflow.Observation) {
	if t.sharing() != picker.SharingCoordinated || p.picker.Kind() != egretflow.PoolKindModel {
		return
	}
	switch o.Kind {
	case egretflow.ObservationCrashed:
		t.markLost(s.Spec.Name, lostServer{t.now.Add(lostPeriod), sourceAnswer})
	case egretflow.ObservationReplaced:
		t.markLost(s.Spec.Name, lostServer{t.now.Add(replacedPeriod), sourceAnswer})
	case egretflow.ObservationSilent:
		t.markLost(s.Spec.Name, lostServer{t.now.Add(lostPeriod), sourceSilence})
	}
}

// markLost keeps new work from a server until l.until. It does nothing if a known
// loss of the server lasts as long. It calls Config.OnServerLost when this
// instance has proved the loss itself and had no proof of it before.
func (t *task) markLost(name egretflow.ServerName, l lostServer) {
	known, ok := t.lost[name]
	if ok && !known.until.Before(l.until) {
		return
	}
	t.lost[name] = l
	t.markUnavailable()
	t.recordLoss(name, l)
	if l.source == sourceAnswer && known.source != sourceAnswer && t.cfg.OnServerLost != nil {
		t.cfg.OnServerLost()
	}
}

// recordLoss records how long a server takes no work and how its loss is known.
func (t *task) recordLoss(name egretflow.ServerName, l lostServer) {
	t.record(egretflow.EventServerLost, nil, nil, []egretflow.EventField{
		{Key: "Server", Value: string(name)},
		{Key: "Source", Value: string(l.source)},
		{Key: "ForMs", Value: strconv.FormatInt(l.until.Sub(t.now).Milliseconds(), 10)},
	})
}

// expireLosses lets lost servers take work again when their time is over.
func (t *task) expireLosses() {
	ended := false
	for name, l := range t.lost {
		if !t.now.Before(l.until) {
			delete(t.lost, name)
			ended = true
		}
	}
	if ended {
		t.markUnavailable()
	}
}

// lossesToReport returns the losses that this instance has proved, with the
// remaining time of each, sorted by server.
func (t *task) lossesToReport(now time.Time) []egretflow.LostServer {
	var losses []egretflow.LostServer
	for name, l := range t.lost {
		if remaining := l.until.Sub(now).Milliseconds(); l.source == sourceAnswer && remaining > 0 {
			losses = append(losses, egretflow.LostServer{Server: name, RemainingMS: remaining})
		}
	}
	slices.SortFunc(losses, func(a, b egretflow.LostServer) int { return cmp.Compare(a.Server, b.Server) })
	return losses
}

// applyPeerLosses marks the servers as lost that a peer has reported. The losses
// are not forwarded to other peers.
func (t *task) applyPeerLosses(losses []egretflow.LostServer) {
	for _, l := range losses {
		remaining := min(time.Duration(l.RemainingMS)*time.Millisecond, replacedPeriod)
		t.markLost(l.Server, lostServer{t.now.Add(remaining), sourcePeer})
	}
}
