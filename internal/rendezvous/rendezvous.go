// Package rendezvous ranks instances for a key by rendezvous hashing: all
// instances with the same list compute the same ranking, and a change of the list
// moves only the keys of the instances that were added or removed.
//
// # Usage
//
//	first := rendezvous.Top("Claims/3", members, local, 2)
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/egretflow/egretflow"
)

// scored is a member with its hash score for a key; the highest score ranks first.
type scored struct {
	member egretflow.Member
	score  uint64
}

// Top returns the n first-ranked members for a key in the order of their rank. The
// local instance is ranked even if it is not in members; the result then holds
// only its name.
func Top(key string, members []egretflow.Member, local egretflow.InstanceName, n int) []egretflow.Member {
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
		listed = listed || m.Name == local
		add(m)
	}
	if !listed {
		add(egretflow.Member{Name: local})
	}
	ranked := make([]egretflow.Member, len(top))
	for at, s := range top {
		ranked[at] = s.member
	}
	return ranked
}

// Rank returns the members for a key in the order of their rank.
func Rank(key string, members []egretflow.Member) []egretflow.Member {
	ranked := make([]scored, len(members))
	for n, m := range members {
		ranked[n] = scored{m, xxhash.Sum64String(key + "/" + string(m.Name))}
	}
	slices.SortFunc(ranked, compare)
	result := make([]egretflow.Member, len(ranked))
	for n, s := range ranked {
		result[n] = s.member
	}
	return result
}

// RankByProcessorShare returns the members with the largest processor share first, and
// equal ones in the order of their rank for the key.
func RankByProcessorShare(key string, members []egretflow.Member) []egretflow.Member {
	ranked := Rank(key, members)
	slices.SortStableFunc(ranked, func(a, b egretflow.Member) int { return cmp.Compare(b.ProcessorShare, a.ProcessorShare) })
	return ranked
}

// compare orders by descending score, equal scores by name.
func compare(a, b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Name, b.member.Name))
}
