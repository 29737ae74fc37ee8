// Package rendezvous ranks instances for a key by rendezvous hashing, so that
// all instances with the same list agree, and a change of the list moves only
// the keys of the instances that changed.
//
// # Usage
//
//	first := rendezvous.Top("Claims/3", members, own, 2)
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/egretflow/egretflow"
)

type scored struct {
	member egretflow.Member
	score  uint64
}

// Top returns the n first-ranked members for a key, first choice first. The own
// instance is ranked also when it is not in the list.
func Top(key string, members []egretflow.Member, own egretflow.InstanceName, n int) []egretflow.Member {
	top := make([]scored, 0, n+1)
	listed := false
	add := func(m egretflow.Member) {
		s := scored{m, xxhash.Sum64String(key + "/" + string(m.Name))}
		at, _ := slices.BinarySearchFunc(top, s, compare)
		if at == n {
			return
		}
		top = slices.Insert(top, at, s)
		top = top[:min(len(top), n)]
	}
	for _, m := range members {
		listed = listed || m.Name == own
		add(m)
	}
	if !listed {
		add(egretflow.Member{Name: own})
	}
	ranked := make([]egretflow.Member, len(top))
	for at, s := range top {
		ranked[at] = s.member
	}
	return ranked
}

func compare(a, b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Name, b.member.Name))
}
