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
	// lostPeriod is how long an engine without a process takes no work. Engines
	// need some seconds to start again.
	lostPeriod = time.Second
	// replacedPeriod is the same for an engine whose address another one has. It
	// lasts until the registration of the former ends.
	replacedPeriod = 4 * time.Second
)

// lostServer is an engine that cannot be reached. It must take no work: its
// memory looks free, so every request would try it first.
type lostServer struct {
	until  time.Time
	source lossSource
}

// lossSource says how a loss is known.
type lossSource string

const (
	// sourceAnswer: a refused connection or another server's answer proves the
	// loss, so peers are told.
	sourceAnswer lossSource = "Answer"
	// sourceSilence: it may be the own link that is silent.
	sourceSilence lossSource = "Silence"
	// sourcePeer: a peer told of it. It is not told on.
	sourcePeer lossSource = "Peer"
)

// lose withholds work from an engine that an attempt could not reach.
func (t *task) lose(p *pool, s *picker.Server, o *egretflow.Observation) {
	if t.sharing() != picker.SharingPeers || p.picker.Kind() != egretflow.PoolKindModel {
		return
	}
	switch o.Kind {
	case egretflow.ObservationCrashed:
		if o.Unsent {
			t.withholdLost(s.Spec.Name, lostServer{t.now.Add(lostPeriod), sourceAnswer})
		}
	case egretflow.ObservationReplaced:
		t.withholdLost(s.Spec.Name, lostServer{t.now.Add(replacedPeriod), sourceAnswer})
	case egretflow.ObservationSilent:
		t.withholdLost(s.Spec.Name, lostServer{t.now.Add(lostPeriod), sourceSilence})
	}
}

func (t *task) withholdLost(name egretflow.ServerName, l lostServer) {
	known, ok := t.lost[name]
	if ok && !known.until.Before(l.until) {
		return
	}
	t.lost[name] = l
	t.markUnavailable()
	t.recordLoss(name, l)
	if l.source == sourceAnswer && known.source != sourceAnswer && t.cfg.Lost != nil {
		t.cfg.Lost()
	}
}

// recordLoss records until when a server takes no work, and by what.
func (t *task) recordLoss(name egretflow.ServerName, l lostServer) {
	t.record(egretflow.EventServerLost, nil, nil, []egretflow.EventField{
		{Key: "Server", Value: string(name)},
		{Key: "Source", Value: string(l.source)},
		{Key: "ForMs", Value: strconv.FormatInt(l.until.Sub(t.now).Milliseconds(), 10)},
	})
}

// endLosses lets lost servers be tried again.
func (t *task) endLosses() {
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

// ownLosses lists what peers are told of lost servers.
func (t *task) ownLosses(now time.Time) []egretflow.LostServer {
	var losses []egretflow.LostServer
	for name, l := range t.lost {
		if left := l.until.Sub(now).Milliseconds(); l.source == sourceAnswer && left > 0 {
			losses = append(losses, egretflow.LostServer{Server: name, LeftMS: left})
		}
	}
	slices.SortFunc(losses, func(a, b egretflow.LostServer) int { return cmp.Compare(a.Server, b.Server) })
	return losses
}

// hearLosses takes what a peer found lost. It is not told on.
func (t *task) hearLosses(losses []egretflow.LostServer) {
	for _, l := range losses {
		left := min(time.Duration(l.LeftMS)*time.Millisecond, replacedPeriod)
		t.withholdLost(l.Server, lostServer{t.now.Add(left), sourcePeer})
	}
}
