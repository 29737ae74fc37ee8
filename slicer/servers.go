package slicer

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/egretflow/egretflow"
)

// group is the unit in which servers are divided (rule 3).
type group struct {
	pool egretflow.PoolName
	role egretflow.Role
}

// cachedAssignment keeps the division of a group while its inputs have the same
// hash. For bins see Slicer.assignment.
type cachedAssignment struct {
	inputHash uint64
	bins      []int
}

// servers returns the shares of the slice with the given index in f.slices.
func (s *Slicer) servers(f fleetSlices, index int, tables *egretflow.Tables) []ServerShare {
	var shares []ServerShare
	for n := range tables.Pools {
		pool := &tables.Pools[n]
		for _, role := range []egretflow.Role{egretflow.RolePrefill, egretflow.RoleDecode, egretflow.RoleService} {
			for _, share := range s.groupShares(f, index, pool, role) {
				share.Pool, share.Kind = pool.Name, pool.Kind
				shares = append(shares, share)
			}
		}
	}
	slices.SortFunc(shares, func(a, b ServerShare) int { return cmp.Compare(a.Server.Name, b.Server.Name) })
	return shares
}

// groupShares returns the shares of the slice in the servers of one pool and role,
// without their pool names and kinds (rule 3).
func (s *Slicer) groupShares(f fleetSlices, index int, pool *egretflow.Pool, role egretflow.Role) []ServerShare {
	var all, regional []*egretflow.Server
	regionsWithServers := map[egretflow.Region]bool{}
	for n := range pool.Servers {
		server := &pool.Servers[n]
		if server.Role != role {
			continue
		}
		all = append(all, server)
		region := s.regionOf(f, server.FailureDomain)
		regionsWithServers[region] = true
		if region == s.region {
			regional = append(regional, server)
		}
	}
	switch {
	case len(all) == 0:
		return nil
	case len(regionsWithServers) == len(f.count):
		return s.divide(group{pool.Name, role}, regional, f.count[s.region], index-f.first[s.region])
	}
	return s.divide(group{pool.Name, role}, all, len(f.slices), index)
}

// regionOf returns the region of a failure domain. A domain that never had a
// member, or whose region has no members, gets one of the regions by rendezvous
// hashing.
func (s *Slicer) regionOf(f fleetSlices, domain egretflow.FailureDomain) egretflow.Region {
	if region, ok := s.regions[domain]; ok && f.count[region] > 0 {
		return region
	}
	var best egretflow.Region
	var bestScore uint64
	for region := range f.count {
		x := score(xxhash.Sum64String(string(domain)), xxhash.Sum64String(string(region)))
		if best == "" || x > bestScore {
			best, bestScore = region, x
		}
	}
	return best
}

// divide returns the shares that the slice with the given index gets when count
// slices divide the servers of a group (rule 4).
func (s *Slicer) divide(g group, servers []*egretflow.Server, count, index int) []ServerShare {
	slices.SortFunc(servers, func(a, b *egretflow.Server) int { return cmp.Compare(a.Name, b.Name) })
	bins := s.assignment(g, servers, count)
	var shares []ServerShare
	if len(servers) >= count {
		for n, server := range servers {
			if bins[n] == index {
				shares = append(shares, ServerShare{Server: server, Slots: server.Slots})
			}
		}
		return shares
	}
	// With fewer servers than slices, bins holds the server of each slice.
	server := servers[bins[index]]
	users, position := 0, 0
	for n, b := range bins {
		if b == bins[index] {
			users++
			if n < index {
				position++
			}
		}
	}
	slots := server.Slots / users
	if position < server.Slots%users {
		slots++
	}
	if slots == 0 {
		return nil
	}
	return []ServerShare{{Server: server, Slots: slots, Shared: users > 1}}
}

// assignment returns the slice of each server, or the server of each slice if
// there are fewer servers than slices. It keeps the result of each group until the
// servers or the number of slices change.
func (s *Slicer) assignment(g group, servers []*egretflow.Server, count int) []int {
	inputs := xxhash.New()
	for _, server := range servers {
		// Writing to a hash returns no error.
		_, _ = inputs.WriteString(string(server.Name) + "/" + string(server.FailureDomain) + "\n")
	}
	sum := inputs.Sum64() + uint64(count)
	if c, ok := s.assignments[g]; ok && c.inputHash == sum {
		return c.bins
	}
	items := make([]item, len(servers))
	hashes := make([]uint64, len(servers))
	for n, server := range servers {
		items[n] = newItem(string(server.Name), string(server.FailureDomain))
		hashes[n] = items[n].hash
	}
	bins := numberedBins(count)
	if len(servers) < count {
		items, bins = make([]item, count), hashes
		for n := range items {
			items[n] = newItem(fmt.Sprintf("slice-%d", n), "")
		}
	}
	result := assign(items, bins)
	s.assignments[g] = cachedAssignment{sum, result}
	return result
}
