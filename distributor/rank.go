package distributor

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/egretflow/egretflow"
)

// domainKey identifies a failure domain, whose name is unique only in its region.
type domainKey struct {
	region egretflow.Region
	domain egretflow.FailureDomain
}

func domainOf(m egretflow.Member) domainKey { return domainKey{m.Region, m.FailureDomain} }

// rank returns the rendezvous rank of a member in its failure domain. It does not
// depend on other members, so the loss of a member displaces no other watcher.
func rank(m egretflow.Member) uint64 {
	return xxhash.Sum64String(string(m.Region) + "/" + string(m.FailureDomain) + "/" + string(m.Name))
}

// pickWatchers returns the members that watch the store, by failure domain: the
// WatchersPerDomain live ones with the lowest rank.
func pickWatchers(members []egretflow.Member) map[domainKey][]egretflow.Member {
	watchers := map[domainKey][]egretflow.Member{}
	for _, m := range members {
		if m.State == egretflow.MemberStateLive {
			watchers[domainOf(m)] = append(watchers[domainOf(m)], m)
		}
	}
	for key, list := range watchers {
		slices.SortFunc(list, func(a, b egretflow.Member) int {
			return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name))
		})
		watchers[key] = list[:min(len(list), WatchersPerDomain)]
	}
	return watchers
}
