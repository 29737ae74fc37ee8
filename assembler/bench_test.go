package assembler_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime"
	"testing"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/assembler"
	"github.com/egretflow/egretflow/authenticator"
	"github.com/egretflow/egretflow/checker"
	"github.com/egretflow/egretflow/explainer"
	"github.com/egretflow/egretflow/picker"
	"github.com/egretflow/egretflow/scheduler"
	"github.com/egretflow/egretflow/supervisor"
)

const (
	benchModels  = 18
	benchDomains = 15
)

// benchTables returns tables with servers that are spread over the models and
// failure domains of a deployment of the target size.
func benchTables(servers int) *egretflow.Tables {
	t := &egretflow.Tables{Revision: 1}
	models := min(benchModels, max(1, servers/4))
	for m := range models {
		name := fmt.Sprintf("model-%d", m)
		t.Pools = append(t.Pools, egretflow.Pool{
			Name: egretflow.PoolName(name), Kind: egretflow.PoolKindModel, Model: egretflow.ModelName(name), KVBytesPerToken: 40_000,
		})
		t.Routes = append(t.Routes, egretflow.Route{
			Name: egretflow.RouteName(name), Callers: []egretflow.CallerName{"*"}, Models: []egretflow.ModelName{egretflow.ModelName(name)},
			Pool: egretflow.PoolName(name), Importance: egretflow.ImportanceNormal, Idempotent: true, FirstTokenTarget: 1_100_000_000,
		})
	}
	for n := range servers {
		role := egretflow.RolePrefill
		if n/models%2 == 1 {
			role = egretflow.RoleDecode
		}
		pool := &t.Pools[n%models]
		pool.Servers = append(pool.Servers, egretflow.Server{
			Name:          egretflow.ServerName(fmt.Sprintf("server-%d", n)),
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 8000),
			FailureDomain: egretflow.FailureDomain(fmt.Sprintf("domain-%d", n%benchDomains)), Role: role,
			Slots: 20, Blocks: 4000, PrefillTokensPerSecond: 10_000, LinkBytesPerSecond: 1_250_000_000,
		})
	}
	return t
}

// BenchmarkIdleInstance reports the heap of a running instance without requests
// that knows the given number of servers.
func BenchmarkIdleInstance(b *testing.B) {
	for _, servers := range []int{15, 150, 1500, 10_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(idleHeap(b, servers))/(1<<20), "MB")
			}
		})
	}
}

// idleHeap returns the bytes of heap that a running instance adds.
func idleHeap(b *testing.B, servers int) int64 {
	before := heap()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	inst, err := assembler.New(assembler.Config{
		Self:  egretflow.Member{Name: "entry-1", FailureDomain: "domain-0", Region: "region"},
		Clock: egretflow.SystemClock, Rand: rand.New(rand.NewPCG(1, 1)), Dial: (&net.Dialer{}).DialContext,
		Callers: authenticator.StaticKeys(map[string]string{"key": "caller"}), CallerListener: ln, Tables: benchTables(servers),
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- supervisor.Run(ctx, inst.Tasks()) }()
	for len(inst.Scheduler.Demands(egretflow.SystemClock())) < servers {
		runtime.Gosched()
	}
	used := heap() - before
	cancel()
	if err := <-ended; err != nil {
		b.Fatal(err)
	}
	return used
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkApplyTables measures how long a scheduler takes to apply tables in which
// one server has changed.
func BenchmarkApplyTables(b *testing.B) {
	for _, servers := range []int{15, 150, 1500, 10_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			clock := egretflow.SystemClock
			events := explainer.New(explainer.DefaultMaxEvents, nil)
			s := scheduler.New(scheduler.Config{
				Instance: "entry-1", Clock: clock, Rand: rand.New(rand.NewPCG(1, 1)), Recorder: events,
				Checker: checker.New("entry-1", clock, events, nil), Sharing: picker.SharingGrants,
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = s.Run(ctx) }()
			versions := []*egretflow.Tables{benchTables(servers), benchTables(servers)}
			versions[1].Pools[0].Servers[0].Drain = true
			n := 0
			for b.Loop() {
				n++
				s.Apply(versions[n%2])
				// The scheduler answers only after it has applied the tables.
				s.CrashReports(clock())
			}
		})
	}
}
