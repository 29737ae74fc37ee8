package allocator_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/allocator"
	"github.com/egretflow/egretflow/slicer"
)

// The model runs owners and holders of several instances in virtual time, with delayed and
// lost messages, a list of instances that each instance reads at another time, and load
// reports that are up to one second old. These are its times.
const (
	modelStep           = 20 * time.Millisecond
	modelHeartbeat      = 500 * time.Millisecond
	modelCallTimeout    = 400 * time.Millisecond
	modelReachableTime  = 1500 * time.Millisecond
	modelMaxRequestTime = 5 * time.Second
	modelListLag        = time.Second
	// modelDisconnectTime is when a backend server drops the requests of a dead instance.
	modelDisconnectTime = 3 * time.Second
	// modelSettleTime is the time after the last change of any instance's view at which
	// over-commit must have ended: grants have expired and requests have ended.
	modelSettleTime = allocator.TTL + modelMaxRequestTime
)

// modelNode is one process of an instance.
type modelNode struct {
	name        egretflow.InstanceName
	incarnation uint64
	alive       bool
	pausedUntil time.Time
	owner       *allocator.Owner
	holder      *allocator.Holder
	heardAt     map[egretflow.InstanceName]time.Time
	listed      []egretflow.InstanceName
	nextAt      map[egretflow.InstanceName]time.Time
	openUntil   map[egretflow.InstanceName]time.Time
	owners      map[egretflow.ServerName]egretflow.InstanceName
	// grantIssuer holds the ID of the owner that issued the newest grant of a server.
	// After the node has reported the server to another owner, it holds the ID of that
	// owner followed by " reported".
	grantIssuer map[egretflow.ServerName]string
	grantedAt   map[egretflow.ServerName]time.Time
	// reportedAt is when the node last reported a server to an owner, by the ID of the
	// owner followed by the name of the server.
	reportedAt map[string]time.Time
}

func (n *modelNode) id() string { return fmt.Sprintf("%s/%d", n.name, n.incarnation) }

type modelRun struct {
	node   *modelNode
	server egretflow.ServerName
	endsAt time.Time
}

type modelMessage struct {
	at  time.Time
	run func()
}

type model struct {
	t          *rapid.T
	now        time.Time
	rand       *rand.Rand
	servers    []allocator.Capacity
	nodes      []*modelNode
	replaced   []*modelNode
	list       []egretflow.InstanceName
	partitions map[[2]egretflow.InstanceName]bool
	runs       []modelRun
	messages   []modelMessage
	// history holds the running requests per server for each past step.
	history []map[egretflow.ServerName]int
	// pending is not used.
	pending   map[string]int
	changedAt time.Time
	// faultsEnded is true if no more faults happen, which makes messages faster.
	faultsEnded bool
	maxExcess   int
}

// TestMain fixes the seed, so that every run draws the same cases. The flags
// of rapid can still be set on the command line.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

func newModel(t *rapid.T, nodes int, seed uint64) *model {
	m := &model{
		t: t, now: start, rand: rand.New(rand.NewPCG(seed, 1)),
		partitions: map[[2]egretflow.InstanceName]bool{}, pending: map[string]int{}, changedAt: start,
		servers: []allocator.Capacity{decode("a", 16), decode("b", 5), decode("c", 3)},
	}
	for n := range nodes {
		m.nodes = append(m.nodes, m.newNode(egretflow.InstanceName(fmt.Sprintf("i%d", n)), 1))
	}
	return m
}

func (m *model) newNode(name egretflow.InstanceName, incarnation uint64) *modelNode {
	n := &modelNode{
		name: name, incarnation: incarnation, alive: true,
		owner: allocator.NewOwner(), holder: allocator.NewHolder(),
		heardAt: map[egretflow.InstanceName]time.Time{}, nextAt: map[egretflow.InstanceName]time.Time{},
		openUntil: map[egretflow.InstanceName]time.Time{}, grantIssuer: map[egretflow.ServerName]string{}, reportedAt: map[string]time.Time{},
		grantedAt: map[egretflow.ServerName]time.Time{},
	}
	n.holder.SetServers([]egretflow.ServerName{"a", "b", "c"})
	if !slices.Contains(m.list, name) {
		m.list = append(m.list, name)
	}
	m.changedAt = m.now
	return n
}

// fault applies one random event.
func (m *model) fault(kind string, a, b int) {
	n, other := m.nodes[a%len(m.nodes)], m.nodes[b%len(m.nodes)]
	switch kind {
	case "kill":
		n.alive = false
	case "restart":
		n.alive = false
		m.replaced = append(m.replaced, n)
		m.nodes[a%len(m.nodes)] = m.newNode(n.name, n.incarnation+1)
	case "unlist":
		if !n.alive {
			m.list = slices.DeleteFunc(m.list, func(name egretflow.InstanceName) bool { return name == n.name })
		}
	case "pause":
		n.pausedUntil = m.now.Add(time.Duration(b) * 500 * time.Millisecond)
	case "cut":
		m.partitions[[2]egretflow.InstanceName{n.name, other.name}] = true
	case "heal":
		clear(m.partitions)
	}
	m.changedAt = m.now
}

func (n *modelNode) active(now time.Time) bool { return n.alive && !now.Before(n.pausedUntil) }

// schedule runs a function when the given time has passed.
func (m *model) schedule(d time.Duration, run func()) {
	m.messages = append(m.messages, modelMessage{m.now.Add(d), run})
}

// delay returns the time that a message takes. Until faultsEnded, some round trips take
// longer than modelCallTimeout.
func (m *model) delay() time.Duration {
	longest := 250 * time.Millisecond
	if m.faultsEnded {
		longest = 150 * time.Millisecond
	}
	return time.Duration(m.rand.Int64N(int64(longest)))
}

// step lets modelStep pass: it ends requests, delivers messages, runs every active node and
// checks the result. wantAll makes the nodes want more slots than there are.
func (m *model) step(wantAll bool) {
	m.now = m.now.Add(modelStep)
	m.runs = slices.DeleteFunc(m.runs, func(r modelRun) bool {
		if m.now.Before(r.endsAt) {
			return false
		}
		if r.node.alive {
			r.node.holder.Finish(r.server, 1)
		}
		return true
	})
	due := m.messages
	m.messages = nil
	for _, msg := range due {
		if m.now.Before(msg.at) {
			m.messages = append(m.messages, msg)
			continue
		}
		msg.run()
	}
	for _, n := range m.nodes {
		if n.active(m.now) {
			m.tick(n, wantAll)
		}
	}
	running := map[egretflow.ServerName]int{}
	for _, r := range m.runs {
		running[r.server]++
	}
	m.history = append(m.history, running)
	m.check()
}

// tick makes one node change its demand, start requests and exchange with its peers.
func (m *model) tick(n *modelNode, wantAll bool) {
	if m.now.Sub(start)%modelListLag == time.Duration(int(n.name[1]-'0'))*100*time.Millisecond {
		n.listed = slices.Clone(m.list)
	}
	m.updateView(n)
	for _, s := range m.servers {
		wanted := [4]int{}
		if wantAll {
			wanted[2] = 2 * s.Slots
		} else if m.rand.IntN(4) == 0 {
			wanted[m.rand.IntN(4)] = m.rand.IntN(2 * s.Slots)
		}
		n.holder.SetWanted(s.Server, wanted)
		if (wantAll || m.rand.IntN(10) == 0) && n.holder.Start(s.Server, 1, m.now) {
			m.runs = append(m.runs, modelRun{n, s.Server, m.now.Add(time.Duration(m.rand.Int64N(int64(modelMaxRequestTime))))})
		}
		if m.now.Sub(start)%modelHeartbeat == 0 && n.owners[s.Server] == n.name {
			m.observeLoad(n, s.Server)
		}
	}
	m.exchange(n, n)
	for _, peer := range m.nodes {
		if peer != n && slices.Contains(n.listed, peer.name) && !m.now.Before(n.nextAt[peer.name]) && !m.now.Before(n.openUntil[peer.name]) {
			n.nextAt[peer.name] = m.now.Add(modelHeartbeat - time.Duration(m.rand.Int64N(int64(modelHeartbeat/2))))
			m.exchange(n, peer)
		}
	}
}

// updateView passes the members and owners that a node knows to its Owner.
func (m *model) updateView(n *modelNode) {
	reachable := []egretflow.InstanceName{n.name}
	listed := []egretflow.InstanceName{n.name}
	for _, name := range n.listed {
		if name == n.name {
			continue
		}
		listed = append(listed, name)
		if at, ok := n.heardAt[name]; ok && m.now.Sub(at) < modelReachableTime {
			reachable = append(reachable, name)
		}
	}
	v := allocator.View{Holders: listed, Servers: m.servers, Owned: map[egretflow.ServerName]bool{}}
	owners := map[egretflow.ServerName]egretflow.InstanceName{}
	for _, s := range m.servers {
		owners[s.Server] = slicer.Owner(s.Server, reachable)
		v.Owned[s.Server] = owners[s.Server] == n.name
		if owners[s.Server] != n.owners[s.Server] {
			m.changedAt = m.now
		}
	}
	n.owners = owners
	n.owner.SetView(v, m.now)
}

// observeLoad passes a load report of a random age to the owner of a node.
func (m *model) observeLoad(n *modelNode, server egretflow.ServerName) {
	lag := m.rand.IntN(min(50, len(m.history)+1))
	if lag == 0 {
		return
	}
	measured := m.now.Add(-time.Duration(lag) * modelStep)
	n.owner.ObserveLoad(egretflow.LoadReport{Server: server, MeasuredAt: measured, Running: m.history[len(m.history)-lag][server]}, m.now)
}

// exchange sends the demands of a holder to an owner and applies the response,
// unless a message is lost or the holder has given up waiting.
func (m *model) exchange(holder, owner *modelNode) {
	sent := m.now
	r := &egretflow.ExchangeRequest{From: holder.name, Incarnation: holder.incarnation, SentAt: sent}
	for _, d := range holder.holder.Demands(sent) {
		if holder.owners[d.Server] == owner.name {
			r.Demands = append(r.Demands, d)
		}
	}
	if holder == owner {
		m.deliver(holder, owner, r)
		return
	}
	holder.openUntil[owner.name] = sent.Add(modelCallTimeout)
	m.schedule(m.delay(), func() {
		if !owner.active(m.now) || m.partitioned(holder, owner) {
			return
		}
		m.deliver(holder, owner, r)
	})
}

func (m *model) partitioned(a, b *modelNode) bool {
	return m.partitions[[2]egretflow.InstanceName{a.name, b.name}] || m.partitions[[2]egretflow.InstanceName{b.name, a.name}]
}

// deliver makes the owner answer a request and the holder apply the response, without delay
// if both are the same node.
func (m *model) deliver(holder, owner *modelNode, r *egretflow.ExchangeRequest) {
	for _, d := range r.Demands {
		holder.reportedAt[owner.id()+string(d.Server)] = m.now
		// A report that was sent before the newest grant does not show it.
		if holder.grantIssuer[d.Server] != owner.id() && !holder.grantedAt[d.Server].After(r.SentAt) {
			holder.grantIssuer[d.Server] = owner.id() + " reported"
		}
	}
	grants := owner.owner.Answer(r, m.now)
	for _, g := range grants {
		m.checkGrant(holder, owner, g)
	}
	apply := func() {
		if holder != owner && (!holder.active(m.now) || m.partitioned(holder, owner) || m.now.Sub(r.SentAt) >= modelCallTimeout) {
			return
		}
		if holder != owner {
			holder.heardAt[owner.name] = m.now
			holder.openUntil[owner.name] = m.now
		}
		for _, g := range grants {
			if holder.owners[g.Server] == owner.name {
				holder.holder.Apply([]egretflow.Grant{g})
				holder.grantIssuer[g.Server], holder.grantedAt[g.Server] = owner.id(), m.now
			}
		}
	}
	if holder == owner {
		apply()
		return
	}
	m.schedule(m.delay(), apply)
}

// usable returns the slots that a node may use, by server: the larger of its unexpired
// grant and its running requests.
func (m *model) usable(n *modelNode) map[egretflow.ServerName]int {
	slots := map[egretflow.ServerName]int{}
	for _, r := range m.runs {
		if r.node == n {
			slots[r.server]++
		}
	}
	if n.alive {
		for _, d := range n.holder.Demands(m.now) {
			slots[d.Server] = max(slots[d.Server], d.Held)
		}
	}
	return slots
}

// checkGrant fails the test if a grant makes the usable slots of all nodes exceed the slots
// of the server by more than the owner cannot know of (see the bound in the package
// comment).
func (m *model) checkGrant(holder, owner *modelNode, g egretflow.Grant) {
	if g.Slots <= m.usable(holder)[g.Server] {
		return
	}
	total, unreported := g.Slots, 0
	for _, n := range slices.Concat(m.nodes, m.replaced) {
		if n == holder {
			continue
		}
		slots := m.usable(n)[g.Server]
		total += slots
		newestIssuer := n.grantIssuer[g.Server]
		sinceReport := m.now.Sub(n.reportedAt[owner.id()+string(g.Server)])
		switch {
		case m.issuerDead(newestIssuer):
			// Grants of a dead owner expire while the new one grants no others, so it
			// does not know only of requests that run longer.
			unreported += m.running(n, g.Server)
		case newestIssuer != owner.id() && newestIssuer != owner.id()+" reported":
			unreported += slots
		case sinceReport >= 2*allocator.TTL:
			unreported += m.running(n, g.Server)
		}
	}
	if excess := total - m.slots(g.Server); excess > unreported {
		m.t.Fatalf("at %v %s granted %d slots of %s to %s: %d slots too many, only %d are unknown to it",
			m.now.Sub(start), owner.id(), g.Slots, g.Server, holder.id(), excess, unreported)
	}
}

// issuerDead reports whether a value of grantIssuer names a process that has ended.
func (m *model) issuerDead(issuer string) bool {
	return issuer != "" && !slices.ContainsFunc(m.nodes, func(n *modelNode) bool {
		return n.alive && (n.id() == issuer || n.id()+" reported" == issuer)
	})
}

func (m *model) running(n *modelNode, server egretflow.ServerName) int {
	count := 0
	for _, r := range m.runs {
		if r.node == n && r.server == server {
			count++
		}
	}
	return count
}

func (m *model) slots(server egretflow.ServerName) int {
	n := slices.IndexFunc(m.servers, func(c allocator.Capacity) bool { return c.Server == server })
	return m.servers[n].Slots
}

// check ends the requests of dead nodes after modelDisconnectTime, and fails the test if a
// server is over-committed although no view has changed for modelSettleTime.
func (m *model) check() {
	for n := range m.runs {
		r := &m.runs[n]
		if !r.node.alive && r.endsAt.After(m.now.Add(modelDisconnectTime)) {
			r.endsAt = m.now.Add(modelDisconnectTime)
		}
	}
	used := m.used()
	for _, s := range m.servers {
		excess := used[s.Server] - s.Slots
		m.maxExcess = max(m.maxExcess, excess)
		if excess > 0 && m.now.Sub(m.changedAt) > modelSettleTime {
			m.t.Fatalf("at %v %d slots of %s are over-committed %v after the last change of a view",
				m.now.Sub(start), excess, s.Server, m.now.Sub(m.changedAt))
		}
	}
}

// used returns the sum of the usable slots of all nodes, by server.
func (m *model) used() map[egretflow.ServerName]int {
	total := map[egretflow.ServerName]int{}
	for _, n := range slices.Concat(m.nodes, m.replaced) {
		for s, slots := range m.usable(n) {
			total[s] += slots
		}
	}
	return total
}

// Guards against over-commit beyond the bound in the package comment, and against slots
// that stay unused after all faults have ended.
func TestModelBoundsOverCommit(t *testing.T) {
	maxExcess, runs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(2, 5).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"))
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) [3]int {
			return [3]int{rapid.IntRange(0, 5).Draw(t, "kind"), rapid.IntRange(0, 9).Draw(t, "a"), rapid.IntRange(0, 9).Draw(t, "b")}
		}), 0, 8).Draw(t, "faults")
		kinds := []string{"kill", "restart", "unlist", "pause", "cut", "heal"}
		m.run(5*time.Second, false)
		for _, f := range faults {
			m.fault(kinds[f[0]], f[1], f[2])
			m.run(time.Duration(f[2])*400*time.Millisecond, f[1]%2 == 0)
		}
		m.fault("heal", 0, 0)
		for a := range m.nodes {
			m.fault("restart", a, 0)
		}
		m.faultsEnded = true
		m.run(12*time.Second, true)
		for _, s := range m.servers {
			if used := m.used()[s.Server]; used < s.Slots {
				t.Fatalf("%d of %d slots of %s are granted after the faults have ended", used, s.Slots, s.Server)
			}
		}
		maxExcess, runs = max(maxExcess, m.maxExcess), runs+1
	})
	t.Logf("%d runs, largest over-commit during changes of owner: %d slots", runs, maxExcess)
}

// run lets the given time pass.
func (m *model) run(d time.Duration, wantAll bool) {
	for range d / modelStep {
		m.step(wantAll)
	}
}
