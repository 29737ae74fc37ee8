package allocator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

// TTL is the lifetime of a grant, which starts when the holder sends the request.
const TTL = 2 * time.Second

// Group identifies the servers over which the baseline shares are spread: those of one
// pool and role.
type Group struct {
	Pool egretflow.PoolName
	Role egretflow.Role
}

// Capacity is the number of slots that a slice may use of one server.
type Capacity struct {
	Server egretflow.ServerName
	Group  Group
	Slots  int
	// Shared is true if other slices use the server too, so that its load reports
	// include requests that no holder of this slice reports.
	Shared bool
}

// View is what an instance knows of its slice.
type View struct {
	// Holders lists the members that are not leaving, reachable or not, including this
	// instance.
	Holders []egretflow.InstanceName
	Servers []Capacity
	// Owned holds the servers that this instance owns.
	Owned map[egretflow.ServerName]bool
}

// Owner grants slots of the servers that its instance owns.
type Owner struct {
	holders []egretflow.InstanceName
	ledgers map[egretflow.ServerName]*ledger
	latest  map[egretflow.InstanceName]receipt
	// lastCallAt is the time of the last call of a method that takes the time. A gap
	// longer than TTL means that the process was paused, so that another owner may have
	// taken over.
	lastCallAt time.Time
}

// receipt identifies the newest request of a holder.
type receipt struct {
	incarnation uint64
	sentAt      time.Time
	receivedAt  time.Time
}

// receiptLifetime is how long a receipt is kept: far longer than a request can be delayed
// on a connection.
const receiptLifetime = time.Minute

// NewOwner returns an Owner that knows no servers until SetView is called.
func NewOwner() *Owner {
	return &Owner{
		ledgers: map[egretflow.ServerName]*ledger{},
		latest:  map[egretflow.InstanceName]receipt{},
	}
}

// SetView replaces the members, the servers and the ownership. Records of servers that are
// in the old and the new view are kept.
func (o *Owner) SetView(v View, now time.Time) {
	o.advance(now)
	o.holders = slices.Sorted(slices.Values(v.Holders))
	servers := slices.SortedFunc(slices.Values(v.Servers), func(a, b Capacity) int {
		return cmp.Compare(a.Server, b.Server)
	})
	offsets := map[Group]int{}
	kept := make(map[egretflow.ServerName]*ledger, len(servers))
	for _, c := range servers {
		l := o.ledgers[c.Server]
		if l == nil {
			l = newLedger()
		}
		l.capacity = c
		l.shares = shares{slots: c.Slots, offset: offsets[c.Group], holders: len(o.holders)}
		l.setOwned(v.Owned[c.Server], now)
		offsets[c.Group] += c.Slots
		kept[c.Server] = l
	}
	o.ledgers = kept
}

// Answer records the demands of a request and returns the grants for it, or nil if the
// request is not newer than the last one of the holder. Servers that this instance must
// not grant are left out. now is in the clock of the owner, the deadlines of the grants
// are in the clock of the holder.
func (o *Owner) Answer(r *egretflow.ExchangeRequest, now time.Time) []egretflow.Grant {
	o.advance(now)
	if !o.acceptNewest(r, now) {
		return nil
	}
	var grants []egretflow.Grant
	for _, d := range r.Demands {
		l := o.ledgers[d.Server]
		if l == nil {
			continue
		}
		l.recordDemand(r, d, now)
		slots, ok := l.grant(r.From, o.holders, now)
		if !ok {
			continue
		}
		grants = append(grants, egretflow.Grant{Server: d.Server, Slots: slots, ExpiresAt: r.SentAt.Add(TTL)})
	}
	return append(grants, o.drainRevocations(r)...)
}

// drainRevocations returns empty grants for the draining servers that the request does not
// name although the holder has slots of them (rule 8).
func (o *Owner) drainRevocations(r *egretflow.ExchangeRequest) []egretflow.Grant {
	var grants []egretflow.Grant
	for _, name := range slices.Sorted(maps.Keys(o.ledgers)) {
		l := o.ledgers[name]
		rec := l.records[r.From]
		if !l.owned || !l.load.Draining || rec == nil || rec.held == 0 {
			continue
		}
		if !slices.ContainsFunc(r.Demands, func(d egretflow.Demand) bool { return d.Server == name }) {
			grants = append(grants, egretflow.Grant{Server: name, ExpiresAt: r.SentAt.Add(TTL)})
		}
	}
	return grants
}

// acceptNewest reports whether the request is newer than all that were received from the
// holder, and stores its receipt if so (rule 2).
func (o *Owner) acceptNewest(r *egretflow.ExchangeRequest, now time.Time) bool {
	last, ok := o.latest[r.From]
	if ok && (r.Incarnation < last.incarnation || r.Incarnation == last.incarnation && !r.SentAt.After(last.sentAt)) {
		return false
	}
	o.latest[r.From] = receipt{r.Incarnation, r.SentAt, now}
	return true
}

// ObserveLoad applies a load report. It ignores reports of servers outside the
// slice.
func (o *Owner) ObserveLoad(report egretflow.LoadReport, now time.Time) {
	o.advance(now)
	if l := o.ledgers[report.Server]; l != nil {
		l.observeLoad(report, now)
	}
}

// NeedsLoad reports whether slots of the server may be withheld until the next load
// report. It returns false for a server that this instance does not own.
func (o *Owner) NeedsLoad(server egretflow.ServerName) bool {
	l := o.ledgers[server]
	return l != nil && l.owned && (!l.accounted || len(l.expired) > 0 || l.hasSilentMember(o.holders))
}

// advance removes expired receipts and records. After a pause of the process it also
// restarts all ownerships, because another owner may have granted slots meanwhile.
func (o *Owner) advance(now time.Time) {
	paused := !o.lastCallAt.IsZero() && now.Sub(o.lastCallAt) > TTL
	o.lastCallAt = now
	maps.DeleteFunc(o.latest, func(_ egretflow.InstanceName, r receipt) bool {
		return now.Sub(r.receivedAt) > receiptLifetime
	})
	for _, l := range o.ledgers {
		if paused {
			l.startOwnership(now)
		}
		l.expire(now)
	}
}
