package allocator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

// TTL is the lifetime of a grant.
const TTL = 2 * time.Second

// Group names the servers between which the baseline shares are spread: those
// of one pool and role.
type Group struct {
	Pool egretflow.PoolName
	Role egretflow.Role
}

// Capacity is what a slice may use of one server.
type Capacity struct {
	Server egretflow.ServerName
	Group  Group
	Slots  int
	// Shared says that other slices use the server too, so its load reports
	// count requests that no holder of this slice reports.
	Shared bool
}

// View is what an instance knows of its slice.
type View struct {
	// Holders lists the live members, reachable or not, with the own instance.
	Holders []egretflow.InstanceName
	Servers []Capacity
	// Owned holds the servers that the own instance owns.
	Owned map[egretflow.ServerName]bool
}

// Owner grants slots of the servers that its instance owns.
type Owner struct {
	holders []egretflow.InstanceName
	ledgers map[egretflow.ServerName]*ledger
	latest  map[egretflow.InstanceName]receipt
	// activeAt is the time of the last call. A longer gap than TTL means that
	// the process was paused and that another owner may have taken over.
	activeAt time.Time
}

// receipt identifies the newest request of a holder.
type receipt struct {
	incarnation uint64
	sentAt      time.Time
	receivedAt  time.Time
}

// receiptLifetime is far longer than a request can be delayed on a connection.
const receiptLifetime = time.Minute

// NewOwner returns an owner of nothing.
func NewOwner() *Owner {
	return &Owner{
		ledgers: map[egretflow.ServerName]*ledger{},
		latest:  map[egretflow.InstanceName]receipt{},
	}
}

// SetView replaces the members, servers and ownership.
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

// Answer returns the grants for a holder's exchange. Servers that the own
// instance must not grant are left out. Times are in the owner's clock, the
// deadlines of the grants in the holder's.
func (o *Owner) Answer(r *egretflow.ExchangeRequest, now time.Time) []egretflow.Grant {
	o.advance(now)
	if !o.newest(r, now) {
		return nil
	}
	var grants []egretflow.Grant
	for _, d := range r.Demands {
		l := o.ledgers[d.Server]
		if l == nil {
			continue
		}
		l.report(r, d, now)
		slots, ok := l.grant(r.From, o.holders, now)
		if !ok {
			continue
		}
		grants = append(grants, egretflow.Grant{Server: d.Server, Slots: slots, ExpiresAt: r.SentAt.Add(TTL)})
	}
	return append(grants, o.withdrawals(r)...)
}

// withdrawals are empty grants for draining servers of which the holder has
// slots and that the request does not name.
func (o *Owner) withdrawals(r *egretflow.ExchangeRequest) []egretflow.Grant {
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

// newest enters the request and returns false if a later one was received.
func (o *Owner) newest(r *egretflow.ExchangeRequest, now time.Time) bool {
	last, ok := o.latest[r.From]
	if ok && (r.Incarnation < last.incarnation || r.Incarnation == last.incarnation && !r.SentAt.After(last.sentAt)) {
		return false
	}
	o.latest[r.From] = receipt{r.Incarnation, r.SentAt, now}
	return true
}

// ObserveLoad takes a load report of any server of the slice.
func (o *Owner) ObserveLoad(report egretflow.LoadReport, now time.Time) {
	o.advance(now)
	if l := o.ledgers[report.Server]; l != nil {
		l.observeLoad(report, now)
	}
}

// NeedsLoad reports whether grants of the server wait for a load report.
func (o *Owner) NeedsLoad(server egretflow.ServerName) bool {
	l := o.ledgers[server]
	return l != nil && l.owned && (!l.accounted || len(l.expired) > 0 || l.absent(o.holders))
}

// advance starts all ownerships anew after a pause of the process.
func (o *Owner) advance(now time.Time) {
	paused := !o.activeAt.IsZero() && now.Sub(o.activeAt) > TTL
	o.activeAt = now
	maps.DeleteFunc(o.latest, func(_ egretflow.InstanceName, r receipt) bool {
		return now.Sub(r.receivedAt) > receiptLifetime
	})
	for _, l := range o.ledgers {
		if paused {
			l.restart(now)
		}
		l.expire(now)
	}
}
