// Package loader reads and checks the settings file of an instance that runs on
// a platform.
//
// # Usage
//
//	s, err := loader.Load("/etc/egretflow/node.yaml")
//
// # Rules
//
//  1. The file is JSON with the field names of Settings. Unknown fields are
//     ignored, because the platform adds some; a missing or invalid field is an
//     error that names it.
//  2. The name, the failure domain and the addresses of a process come from this
//     file alone, not from flags or other files.
package loader

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/accountant"
	"github.com/egretflow/egretflow/limiter"
)

// Settings holds the content of the settings file.
type Settings struct {
	Name          egretflow.InstanceName
	Region        egretflow.Region
	FailureDomain egretflow.FailureDomain
	// Listen is the address for callers, ReadyListen the one for the readiness
	// checks of the load balancer.
	Listen      netip.AddrPort
	ReadyListen netip.AddrPort
	// Address is the IP address of this instance, and PeerPorts the first and last
	// port that are free on it: the first three are for messages between instances, the
	// last one is for metrics.
	Address   netip.Addr
	PeerPorts []uint16
	// Store is the address of the platform's key-value store.
	Store netip.AddrPort
	// GraceSeconds is the time from the signal to stop until the platform kills
	// the process.
	GraceSeconds    float64
	MemoryMegabytes int
	// ProcessorShare is the processor time that this instance may use, in cores; 0
	// if unknown. Instances with more of it coordinate for others first.
	ProcessorShare float64
	// Bootstrap is true only when the whole fleet starts for the first time.
	Bootstrap bool
	// The retry budget of a service, shared by all instances: in each window,
	// RetryRatio times the number of its requests, plus RetrySlack.
	RetryRatio         float64
	RetrySlack         float64
	RetryWindowSeconds float64
	// LeaseMilliseconds is the lifetime, as the platform sets it, of the lease
	// whose holder sends commands to engines.
	LeaseMilliseconds int
	// QuotaWindowSeconds, QuotaOvershoot and QuotaSlack say how far the use of a quota may
	// exceed it while instances fail: in any window, by QuotaOvershoot times the quota of
	// the window plus QuotaSlack. A platform without quotas sets none of them.
	QuotaWindowSeconds float64
	QuotaOvershoot     float64
	QuotaSlack         float64
}

// Load reads and checks the file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Decode(data)
}

// Decode decodes and checks settings.
func Decode(data []byte) (*Settings, error) {
	var s Settings
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("decode settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("check settings: %w", err)
	}
	return &s, nil
}

func (s *Settings) check() error {
	if err := egretflow.CheckName("Name", string(s.Name)); err != nil {
		return err
	}
	return egretflow.CheckRequired([]egretflow.RequiredField{
		{Name: "FailureDomain", Missing: s.FailureDomain == ""},
		{Name: "Region", Missing: s.Region == ""},
		{Name: "Listen", Missing: !s.Listen.IsValid()},
		{Name: "ReadyListen", Missing: !s.ReadyListen.IsValid()},
		{Name: "Address", Missing: !s.Address.IsValid()},
		{Name: "PeerPorts", Missing: len(s.PeerPorts) != 2 || int(s.PeerPorts[0])+3 > int(s.PeerPorts[1])},
		{Name: "Store", Missing: !s.Store.IsValid()},
		{Name: "GraceSeconds", Missing: s.GraceSeconds <= 0},
		{Name: "MemoryMegabytes", Missing: s.MemoryMegabytes <= 0},
		{Name: "ProcessorShare", Missing: s.ProcessorShare < 0},
		{Name: "LeaseMilliseconds", Missing: s.LeaseMilliseconds < 0},
		{Name: "RetryWindowSeconds", Missing: s.RetryWindowSeconds <= 0},
		{Name: "RetryRatio", Missing: s.RetryRatio < 0},
		{Name: "RetrySlack", Missing: s.RetrySlack < 0},
		{Name: "QuotaWindowSeconds", Missing: s.QuotaWindowSeconds < 0},
		{Name: "QuotaOvershoot", Missing: s.QuotaOvershoot < 0},
		{Name: "QuotaSlack", Missing: s.QuotaSlack < 0},
	})
}

// RetryBudget returns the retry budget that all instances share.
func (s *Settings) RetryBudget() limiter.SharedBudgetConfig {
	return limiter.SharedBudgetConfig{
		Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: time.Duration(s.RetryWindowSeconds * float64(time.Second)),
	}
}

// QuotaTolerance returns how far the use of quotas may exceed them.
func (s *Settings) QuotaTolerance() accountant.Tolerance {
	return accountant.Tolerance{
		Window: time.Duration(s.QuotaWindowSeconds * float64(time.Second)), Overshoot: s.QuotaOvershoot, Slack: s.QuotaSlack,
	}
}

// leaseMargin is the time by which a lease outlives LeaseMilliseconds.
const leaseMargin = time.Second

// LeaseTTL returns the lifetime of the lease for commands to engines:
// LeaseMilliseconds and a margin of one second.
func (s *Settings) LeaseTTL() time.Duration {
	return time.Duration(s.LeaseMilliseconds)*time.Millisecond + leaseMargin
}

// GracePeriod returns GraceSeconds as a duration.
func (s *Settings) GracePeriod() time.Duration {
	return time.Duration(s.GraceSeconds * float64(time.Second))
}
