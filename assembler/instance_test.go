package assembler_test

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/assembler"
	"github.com/egretflow/egretflow/authenticator"
)

// Guards against callers that are served before the scheduler knows the tables:
// their requests find no pool.
func TestTablesComeBeforeCallers(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	inst, err := assembler.New(assembler.Config{
		Self:  egretflow.Member{Name: "entry-1", FailureDomain: "domain-0", Region: "region"},
		Clock: egretflow.SystemClock, Rand: rand.New(rand.NewPCG(1, 1)), Dial: (&net.Dialer{}).DialContext,
		Callers: authenticator.Static(nil), CallerListener: ln, Tables: benchTables(4),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, task := range inst.Tasks() {
		go func() { _ = task.Run(ctx) }()
		if task.Name == "tables" {
			if task.Ready == nil {
				t.Fatal("the tasks after the tables do not wait for them")
			}
			<-task.Ready
			break
		}
	}
	if n := len(inst.Scheduler.Demands(egretflow.SystemClock())); n != 4 {
		t.Errorf("scheduler knows %d servers when callers may come, want 4", n)
	}
}
