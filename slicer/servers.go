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

// cachedGroup keeps the division of a group while its inputs are the same.
type cachedGroup struct {
	inputs uint64
	bins   []int
}

// servers returns the shares of the slice with the given index.
func (s *Slicer) servers(f fleet, own int, tables *egretflow.Tables) []Share {
	var shares []Share
	for n := range tables.Pools {
		pool := &tables.Pools[n]
		for _, role := range []egretflow.Role{egretflow.RolePrefill, egretflow.RoleDecode, egretflow.RoleService} {
			for _, share := range s.groupShares(f, own, pool, role) {
				share.Pool, share.Kind = pool.Name, pool.Kind
				shares = append(shares, share)
			}
		}
	}
	slices.SortFunc(shares, func(a, b Share) int { return cmp.Compare(a.Server.Name, b.Server.Name) })
	return shares
}

func (s *Slicer) groupShares(f fleet, index int, pool *egretflow.Pool, role egretflow.Role) []Share {
	var all, own []*egretflow.Server
	served := map[egretflow.Region]bool{}
	for n := range pool.Servers {
		server := &pool.Servers[n]
		if server.Role != role {
			continue
		}
		all = append(all, server)
		region := s.regionOf(f, server.FailureDomain)
		served[region] = true
		if region == s.region {
			own = append(own, server)
		}
	}
	switch {
	case len(all) == 0:
		return nil
	case len(served) == len(f.count):
		return s.divide(group{pool.Name, role}, own, f.count[s.region], index-f.first[s.region])
	}
	return s.divide(group{pool.Name, role}, all, len(f.slices), index)
}

// regionOf returns the region of a failure domain. A domain that never had a
// member gets one of the regions by rendezvous hashing.
func (s *Slicer) regionOf(f fleet, domain egretflow.FailureDomain) egretflow.Region {
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

// divide returns the shares of one of the slices in the servers of a group.
func (s *Slicer) divide(g group, servers []*egretflow.Server, count, own int) []Share {
	slices.SortFunc(servers, func(a, b *egretflow.Server) int { return cmp.Compare(a.Name, b.Name) })
	bins := s.cached(g, servers, count)
	var shares []Share
	if len(servers) >= count {
		for n, server := range servers {
			if bins[n] == own {
				shares = append(shares, Share{Server: server, Slots: server.Slots})
			}
		}
		return shares
	}
	// bins holds the server of each slice.
	server := servers[bins[own]]
	users, position := 0, 0
	for n, b := range bins {
		if b == bins[own] {
			users++
			if n < own {
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
	return []Share{{Server: server, Slots: slots, Shared: users > 1}}
}

// cached returns the slice of each server, or the server of each slice if
// there are fewer servers than slices.
func (s *Slicer) cached(g group, servers []*egretflow.Server, count int) []int {
	inputs := xxhash.New()
	for _, server := range servers {
		// Writing to a hash returns no error.
		_, _ = inputs.WriteString(string(server.Name) + "/" + string(server.FailureDomain) + "\n")
	}
	sum := inputs.Sum64() + uint64(count)
	if c, ok := s.groups[g]; ok && c.inputs == sum {
		return c.bins
	}
	items := make([]item, len(servers))
	hashes := make([]uint64, len(servers))
	for n, server := range servers {
		items[n] = newItem(string(server.Name), string(server.FailureDomain))
		hashes[n] = items[n].hash
	}
	bins := numbered(count)
	if len(servers) < count {
		items, bins = make([]item, count), hashes
		for n := range items {
			items[n] = newItem(fmt.Sprintf("slice-%d", n), "")
		}
	}
	result := assign(items, bins)
	s.groups[g] = cachedGroup{sum, result}
	return result
}
