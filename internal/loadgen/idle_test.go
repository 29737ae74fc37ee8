package loadgen

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/picker"
)

// idleDuration is how long an idle fleet is observed per iteration.
const idleDuration = 10 * time.Second

// BenchmarkIdleFleet reports what an instance of an idle fleet uses for
// coordination: CPU time in percent of a core and bytes written to peers. The
// stand-ins of the platform and of the engines run in the same process, so the
// CPU time is an upper bound.
func BenchmarkIdleFleet(b *testing.B) {
	scenario, err := FindScenario("Kilimanjaro", ShapeSteady)
	if err != nil {
		b.Fatal(err)
	}
	for _, instances := range []int{2, 4, 8, 16} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			cfg := Config{Scenario: scenario, Policy: picker.PolicyJoint, Instances: instances, Seed: 1, Clock: egretflow.SystemClock}
			for b.Loop() {
				measureIdle(b, cfg)
			}
		})
	}
}

func measureIdle(b *testing.B, cfg Config) {
	servers, err := startBackends(cfg.Scenario.Deployment, cfg.Clock, cfg.Seed)
	if err != nil {
		b.Fatal(err)
	}
	defer servers.stop()
	f, err := startFleet(b.Context(), cfg, servers)
	if err != nil {
		b.Fatal(err)
	}
	defer f.stop()
	if err := wait(b.Context(), settleTime); err != nil {
		b.Fatal(err)
	}
	cpuBefore, writtenBefore := cpuTime(b), f.writtenToPeers()
	if err := wait(b.Context(), idleDuration); err != nil {
		b.Fatal(err)
	}
	perInstance := float64(cfg.Instances) * idleDuration.Seconds()
	b.ReportMetric(100*(cpuTime(b)-cpuBefore).Seconds()/perInstance, "%core/instance")
	b.ReportMetric(float64(f.writtenToPeers()-writtenBefore)/perInstance, "B/s/instance")
}

func (f *fleet) writtenToPeers() int64 {
	var sum int64
	for _, inst := range f.instances {
		n, _ := inst.PeerTraffic()
		sum += n
	}
	return sum
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
