package allocator

import (
	"maps"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

// Holder keeps the grants of one instance and counts the slots in use.
type Holder struct {
	holdings map[egretflow.ServerName]*holding
}

// holding is the grant and use of one server.
type holding struct {
	slots     int
	expiresAt time.Time
	inUse     int
	wanted    [4]int
}

// NewHolder returns a holder without grants.
func NewHolder() *Holder {
	return &Holder{holdings: map[egretflow.ServerName]*holding{}}
}

// holding returns the holding of a server, which it adds if there is none.
func (h *Holder) holding(server egretflow.ServerName) *holding {
	e := h.holdings[server]
	if e == nil {
		e = &holding{}
		h.holdings[server] = e
	}
	return e
}

// SetServers makes Demands report exactly these servers and those on which requests
// still run.
func (h *Holder) SetServers(servers []egretflow.ServerName) {
	for _, s := range servers {
		h.holding(s)
	}
	maps.DeleteFunc(h.holdings, func(s egretflow.ServerName, e *holding) bool {
		return e.inUse == 0 && !slices.Contains(servers, s)
	})
}

// Apply replaces the grants of the servers that grants names. Other grants stay valid
// until they expire.
func (h *Holder) Apply(grants []egretflow.Grant) {
	for _, g := range grants {
		e := h.holding(g.Server)
		e.slots, e.expiresAt = g.Slots, g.ExpiresAt
	}
}

// SetWanted sets the number of slots that are wanted beyond the held ones, by rank of
// importance with the most important first.
func (h *Holder) SetWanted(server egretflow.ServerName, wanted [4]int) {
	h.holding(server).wanted = wanted
}

// Free returns the slots under an unexpired grant that are not in use.
func (h *Holder) Free(server egretflow.ServerName, now time.Time) int {
	e := h.holdings[server]
	if e == nil {
		return 0
	}
	return max(0, e.held(now)-e.inUse)
}

// Start marks slots as in use for a request. It returns false, and marks none, if there
// is no unexpired grant for all of them. The caller dispatches the request immediately
// afterwards and calls Finish when it has ended.
func (h *Holder) Start(server egretflow.ServerName, slots int, now time.Time) bool {
	if h.Free(server, now) < slots {
		return false
	}
	h.holdings[server].inUse += slots
	return true
}

// Finish frees the slots of a request that has ended.
func (h *Holder) Finish(server egretflow.ServerName, slots int) {
	e := h.holding(server)
	e.inUse = max(0, e.inUse-slots)
}

// Demands returns the used, held and wanted slots of every server, sorted by server name.
func (h *Holder) Demands(now time.Time) []egretflow.Demand {
	demands := make([]egretflow.Demand, 0, len(h.holdings))
	for _, s := range slices.Sorted(maps.Keys(h.holdings)) {
		e := h.holdings[s]
		demands = append(demands, egretflow.Demand{Server: s, InUse: e.inUse, Held: e.held(now), Wanted: e.wanted})
	}
	return demands
}

// held returns the granted slots, or 0 if the grant has expired.
func (e *holding) held(now time.Time) int {
	if !now.Before(e.expiresAt) {
		return 0
	}
	return e.slots
}
