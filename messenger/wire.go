package messenger

import (
	"fmt"
	"time"

	"github.com/egretflow/egretflow"
)

// The wire types are the compact encodings of the Exchange messages. The order of
// their fields is the format. Times are in microseconds since the Unix epoch.
// Server is a code as a uint32 or a name as a string (rule 3).

type wireDemand struct {
	_      struct{} `cbor:",toarray"`
	Server any
	InUse  uint32
	Held   uint32
	// Wanted omits trailing zeros.
	Wanted []uint32
}

type wireGrant struct {
	_      struct{} `cbor:",toarray"`
	Server any
	Slots  uint32
	// Early is the number of microseconds between the end of the grant and the
	// later ExpiresAt of the response.
	Early uint32
}

type wireBacklog struct {
	_      struct{} `cbor:",toarray"`
	Server any
	Tokens uint32
}

type wireQueue struct {
	_    struct{} `cbor:",toarray"`
	Pool string
	// Tokens omits trailing zeros.
	Tokens []uint32
}

type wirePrefill struct {
	_        struct{} `cbor:",toarray"`
	Backlogs []wireBacklog
	Queues   []wireQueue
}

type wireCrash struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Servers     []string
	ExpiresAt   int64
	Part        bool
	Shared      bool
}

type wireRequest struct {
	_           struct{} `cbor:",toarray"`
	From        string
	Incarnation uint64
	SentAt      int64
	Revision    uint64
	Leaving     bool
	Slices      uint32
	Demands     []wireDemand
	Crashes     []wireCrash
	Prefill     *wirePrefill
}

type wireResponse struct {
	_           struct{} `cbor:",toarray"`
	From        string
	Incarnation uint64
	Revision    uint64
	Leaving     bool
	Slices      uint32
	ExpiresAt   int64
	Grants      []wireGrant
	Crashes     []wireCrash
	Prefill     *wirePrefill
}

func (n *ServerNameCodec) wireRequest(r *egretflow.ExchangeRequest) *wireRequest {
	w := &wireRequest{
		From:        string(r.From),
		Incarnation: r.Incarnation,
		SentAt:      r.SentAt.UnixMicro(),
		Revision:    uint64(r.Revision),
		Leaving:     r.Leaving,
		Slices:      uint32(r.Slices),
		Demands:     make([]wireDemand, len(r.Demands)),
		Crashes:     wireCrashes(r.Crashes),
		Prefill:     n.wirePrefill(r.Prefill),
	}
	for i, d := range r.Demands {
		w.Demands[i] = wireDemand{
			Server: n.encode(d.Server),
			InUse:  uint32(d.InUse),
			Held:   uint32(d.Held),
			Wanted: wireCounts(d.Wanted),
		}
	}
	return w
}

// wireCounts returns counts per importance without trailing zeros.
func wireCounts(counts [4]int) []uint32 {
	trimmed := []uint32{}
	for class, n := range counts {
		if n == 0 {
			continue
		}
		for len(trimmed) < class {
			trimmed = append(trimmed, 0)
		}
		trimmed = append(trimmed, uint32(n))
	}
	return trimmed
}

func (n *ServerNameCodec) wirePrefill(l *egretflow.PrefillLoad) *wirePrefill {
	if l == nil {
		return nil
	}
	w := &wirePrefill{Backlogs: make([]wireBacklog, len(l.Backlogs)), Queues: make([]wireQueue, len(l.Queues))}
	for i, b := range l.Backlogs {
		w.Backlogs[i] = wireBacklog{Server: n.encode(b.Server), Tokens: uint32(b.Tokens)}
	}
	for i, q := range l.Queues {
		w.Queues[i] = wireQueue{Pool: string(q.Pool), Tokens: wireCounts(q.Tokens)}
	}
	return w
}

// prefillLoad converts a prefill load from its wire type. It ignores backlogs whose
// server code it cannot decode, and counts beyond the known importances.
func (n *ServerNameCodec) prefillLoad(w *wirePrefill) *egretflow.PrefillLoad {
	if w == nil {
		return nil
	}
	l := &egretflow.PrefillLoad{}
	for _, b := range w.Backlogs {
		if server, ok := n.decode(b.Server); ok {
			l.Backlogs = append(l.Backlogs, egretflow.Backlog{Server: server, Tokens: int(b.Tokens)})
		}
	}
	for _, queue := range w.Queues {
		q := egretflow.Queue{Pool: egretflow.PoolName(queue.Pool)}
		for class, tokens := range queue.Tokens[:min(len(queue.Tokens), len(q.Tokens))] {
			q.Tokens[class] = int(tokens)
		}
		l.Queues = append(l.Queues, q)
	}
	return l
}

func wireCrashes(reports []egretflow.CrashReport) []wireCrash {
	crashes := make([]wireCrash, len(reports))
	for i, c := range reports {
		crashes[i] = wireCrash{Fingerprint: c.Fingerprint, Part: c.Part, Shared: c.Shared, ExpiresAt: c.ExpiresAt.UnixMicro()}
		for _, name := range c.Names() {
			crashes[i].Servers = append(crashes[i].Servers, string(name))
		}
	}
	return crashes
}

// wireResponse converts a response to its wire type. The wire ExpiresAt is the
// latest end of the grants.
func (n *ServerNameCodec) wireResponse(r *egretflow.ExchangeResponse) *wireResponse {
	w := &wireResponse{
		From:        string(r.From),
		Incarnation: r.Incarnation,
		Revision:    uint64(r.Revision),
		Leaving:     r.Leaving,
		Slices:      uint32(r.Slices),
		Grants:      make([]wireGrant, len(r.Grants)),
		Crashes:     wireCrashes(r.Crashes),
		Prefill:     n.wirePrefill(r.Prefill),
	}
	for _, g := range r.Grants {
		w.ExpiresAt = max(w.ExpiresAt, g.ExpiresAt.UnixMicro())
	}
	for i, g := range r.Grants {
		w.Grants[i] = wireGrant{
			Server: n.encode(g.Server),
			Slots:  uint32(g.Slots),
			Early:  uint32(w.ExpiresAt - g.ExpiresAt.UnixMicro()),
		}
	}
	return w
}

// exchangeRequest converts a request from its wire type. It omits demands whose
// server code it cannot decode, and returns an error for a demand with counts
// beyond the known importances.
func (n *ServerNameCodec) exchangeRequest(w *wireRequest) (*egretflow.ExchangeRequest, error) {
	r := &egretflow.ExchangeRequest{
		From:        egretflow.InstanceName(w.From),
		Incarnation: w.Incarnation,
		SentAt:      time.UnixMicro(w.SentAt),
		Revision:    egretflow.Revision(w.Revision),
		Leaving:     w.Leaving,
		Slices:      int(w.Slices),
		Crashes:     crashReports(w.Crashes),
		Prefill:     n.prefillLoad(w.Prefill),
	}
	for i, d := range w.Demands {
		if len(d.Wanted) > len(egretflow.Importances) {
			return nil, fmt.Errorf("demand %d: %d classes, want at most %d", i, len(d.Wanted), len(egretflow.Importances))
		}
		server, ok := n.decode(d.Server)
		if !ok {
			continue
		}
		demand := egretflow.Demand{Server: server, InUse: int(d.InUse), Held: int(d.Held)}
		for class, wanted := range d.Wanted {
			demand.Wanted[class] = int(wanted)
		}
		r.Demands = append(r.Demands, demand)
	}
	return r, nil
}

// exchangeResponse converts a response from its wire type. It omits grants whose
// server code it cannot decode.
func (n *ServerNameCodec) exchangeResponse(w *wireResponse) *egretflow.ExchangeResponse {
	r := &egretflow.ExchangeResponse{
		From:        egretflow.InstanceName(w.From),
		Incarnation: w.Incarnation,
		Revision:    egretflow.Revision(w.Revision),
		Leaving:     w.Leaving,
		Slices:      int(w.Slices),
		Crashes:     crashReports(w.Crashes),
		Prefill:     n.prefillLoad(w.Prefill),
	}
	for _, g := range w.Grants {
		if server, ok := n.decode(g.Server); ok {
			ends := time.UnixMicro(w.ExpiresAt - int64(g.Early))
			r.Grants = append(r.Grants, egretflow.Grant{Server: server, Slots: int(g.Slots), ExpiresAt: ends})
		}
	}
	return r
}

func crashReports(crashes []wireCrash) []egretflow.CrashReport {
	var reports []egretflow.CrashReport
	for _, c := range crashes {
		report := egretflow.CrashReport{Fingerprint: c.Fingerprint, Part: c.Part, Shared: c.Shared, ExpiresAt: time.UnixMicro(c.ExpiresAt)}
		names := make([]egretflow.ServerName, len(c.Servers))
		for n, name := range c.Servers {
			names[n] = egretflow.ServerName(name)
		}
		report.SetNames(names)
		reports = append(reports, report)
	}
	return reports
}
