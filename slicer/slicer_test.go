package slicer_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/slicer"
)

// members returns n instances spread evenly over regions of four failure domains
// each.
func members(n, regions int) []egretflow.Member {
	list := make([]egretflow.Member, n)
	for i := range list {
		region := i % regions
		list[i] = egretflow.Member{
			Name:          egretflow.InstanceName(fmt.Sprintf("instance-%d", i)),
			Region:        egretflow.Region(fmt.Sprintf("region-%d", region)),
			FailureDomain: egretflow.FailureDomain(fmt.Sprintf("region-%d-%d", region, i/regions%4)),
			State:         egretflow.MemberStateLive,
		}
	}
	return list
}

// tables returns model pools whose servers are spread over the same regions and
// failure domains as those of members.
func tables(servers, pools, regions int) *egretflow.Tables {
	t := &egretflow.Tables{}
	for p := range pools {
		pool := egretflow.Pool{Name: egretflow.PoolName(fmt.Sprintf("pool-%d", p)), Kind: egretflow.PoolKindModel, Model: "m"}
		for i := range servers / pools {
			role := egretflow.RoleDecode
			if i/regions%3 == 0 {
				role = egretflow.RolePrefill
			}
			region := i % regions
			pool.Servers = append(pool.Servers, egretflow.Server{
				Name:          egretflow.ServerName(fmt.Sprintf("%s-%d", pool.Name, i)),
				Address:       netip.MustParseAddrPort("127.0.0.1:80"),
				FailureDomain: egretflow.FailureDomain(fmt.Sprintf("region-%d-%d", region, i/regions%4)),
				Role:          role,
				Slots:         20,
			})
		}
		t.Pools = append(t.Pools, pool)
	}
	return t
}

// plans returns the plan of every member, each computed by a new Slicer.
func plans(list []egretflow.Member, t *egretflow.Tables) map[egretflow.InstanceName]slicer.Plan {
	result := map[egretflow.InstanceName]slicer.Plan{}
	for _, m := range list {
		result[m.Name] = slicer.New(m.Name, m.Region).Plan(list, t)
	}
	return result
}

// Guards against slices that are too large, that lie in one failure domain,
// that lack a role of a pool, and against slots given to two slices.
func TestPlanCoversFleet(t *testing.T) {
	tests := []struct {
		instances, regions, servers, pools int
	}{
		{1, 1, 8, 1},
		{8, 1, 24, 2},
		{13, 1, 15, 1},
		{64, 1, 930, 18},
		{64, 4, 48, 4},
		{65, 3, 90, 5},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			list, tab := members(test.instances, test.regions), tables(test.servers, test.pools, test.regions)
			granted := map[egretflow.ServerName]map[egretflow.InstanceName]int{}
			for name, p := range plans(list, tab) {
				checkPlan(t, name, p, tab)
				for _, s := range p.Servers {
					if granted[s.Server.Name] == nil {
						granted[s.Server.Name] = map[egretflow.InstanceName]int{}
					}
					// All members of a slice have the same first member.
					granted[s.Server.Name][p.Members[0].Name] = s.Slots
				}
			}
			for server, bySlice := range granted {
				total := 0
				for _, slots := range bySlice {
					total += slots
				}
				if total != 20 {
					t.Errorf("slices have %d slots of server %s, want 20", total, server)
				}
			}
			if len(granted) != test.servers/test.pools*test.pools {
				t.Errorf("%d servers belong to a slice, want %d", len(granted), test.servers)
			}
		})
	}
}

func checkPlan(t *testing.T, name egretflow.InstanceName, p slicer.Plan, tab *egretflow.Tables) {
	t.Helper()
	if len(p.Members) > 13 {
		t.Errorf("slice of %s has %d members", name, len(p.Members))
	}
	domains := map[egretflow.FailureDomain]int{}
	for _, m := range p.Members {
		domains[m.FailureDomain]++
	}
	for domain, n := range domains {
		if n > (len(p.Members)+3)/4+1 {
			t.Errorf("slice of %s has %d of %d members in %s", name, n, len(p.Members), domain)
		}
	}
	has := map[string]bool{}
	for _, s := range p.Servers {
		has[fmt.Sprintf("%s %s", s.Pool, s.Server.Role)] = true
	}
	if len(has) != 2*len(tab.Pools) {
		t.Errorf("slice of %s has servers for %d pools and roles, want %d", name, len(has), 2*len(tab.Pools))
	}
}

// Guards against a number of slices that changes back and forth when a few
// instances restart, and against members that use different numbers.
func TestNumberOfSlicesIsStable(t *testing.T) {
	s := slicer.New("instance-0", "region-0")
	steps := []struct{ instances, want int }{
		{64, 8}, {67, 8}, {84, 8}, {88, 8}, {89, 11}, {88, 11}, {66, 11}, {65, 8}, {3, 1}, {11, 1}, {12, 2},
	}
	for _, step := range steps {
		if got := s.Plan(members(step.instances, 1), nil).Slices; got != step.want {
			t.Fatalf("%d instances give %d slices, want %d", step.instances, got, step.want)
		}
	}
	fresh := slicer.New("instance-1", "region-0")
	fresh.Plan(members(84, 1), nil)
	fresh.AdoptSliceCount(11)
	if got := fresh.Plan(members(84, 1), nil).Slices; got != 11 {
		t.Errorf("instance without history uses %d slices, want the 11 of its peers", got)
	}
}

// Guards against a join that moves most instances to another slice. The bound
// allows one chain of displacements per slice of a region.
func TestJoinMovesFewInstances(t *testing.T) {
	tests := []struct{ instances, regions, servers, pools int }{
		{64, 1, 930, 18},
		{690, 4, 10000, 18},
	}
	for _, test := range tests {
		list, tab := members(test.instances+1, test.regions), tables(test.servers, test.pools, test.regions)
		slices := (test.instances + 7) / 8
		moved := 0
		before, after := sliceIndexes(list[:test.instances]), sliceIndexes(list)
		for name, index := range before {
			if after[name] != index {
				moved++
			}
		}
		t.Logf("%d instances: %d slices, a join moves %d instances", test.instances, slices, moved)
		if moved > 2*slices/test.regions {
			t.Errorf("%d instances: a join moved %d instances", test.instances, moved)
		}
		without := *tab
		without.Pools = append([]egretflow.Pool(nil), tab.Pools...)
		without.Pools[0].Servers = tab.Pools[0].Servers[1:]
		s := slicer.New("instance-0", "region-0")
		servers := s.Plan(list, tab).Servers
		t.Logf("%d servers: slice has %d, a removed server changes %d of them", test.servers, len(servers), countDifferent(servers, s.Plan(list, &without).Servers))
	}
}

// sliceIndexes returns the index of each instance's slice within its region.
func sliceIndexes(list []egretflow.Member) map[egretflow.InstanceName]int {
	result := map[egretflow.InstanceName]int{}
	for _, m := range list {
		result[m.Name] = slicer.New(m.Name, m.Region).Plan(list, nil).Index
	}
	return result
}

// countDifferent returns the number of servers that are in only one of a and b.
func countDifferent(a, b []slicer.ServerShare) int {
	in := map[egretflow.ServerName]bool{}
	for _, s := range a {
		in[s.Server.Name] = true
	}
	n := 0
	for _, s := range b {
		if !in[s.Server.Name] {
			n++
		}
		delete(in, s.Server.Name)
	}
	return n + len(in)
}

// Measures a plan after a join, and after a change of one server of a pool.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ instances, regions, servers int }{{8, 1, 24}, {64, 1, 930}, {690, 4, 10000}} {
		list, tab := members(size.instances, size.regions), tables(size.servers, 18, size.regions)
		b.Run(fmt.Sprintf("join/instances=%d/servers=%d", size.instances, size.servers), func(b *testing.B) {
			for range b.N {
				slicer.New("instance-0", "region-0").Plan(list, tab)
			}
		})
		b.Run(fmt.Sprintf("edit/instances=%d/servers=%d", size.instances, size.servers), func(b *testing.B) {
			s := slicer.New("instance-0", "region-0")
			for n := range b.N {
				tab.Pools[0].Servers[0].FailureDomain = egretflow.FailureDomain(fmt.Sprintf("region-0-%d", n%4))
				s.Plan(list, tab)
			}
		})
	}
}
