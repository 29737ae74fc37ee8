package slicer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// item is a member or server to be put into a bin.
type item struct {
	name string
	// class is the failure domain.
	class string
	hash  uint64
}

func newItem(name, class string) item {
	return item{name: name, class: class, hash: xxhash.Sum64String(name)}
}

// score is the rendezvous score of an item for a bin: the finalizer of
// splitmix64 over both hashes.
func score(item, bin uint64) uint64 {
	x := item + (bin+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

const unassigned = -1

// numbered returns the hashes of bins that are known by their number only.
func numbered(count int) []uint64 {
	bins := make([]uint64, count)
	for n := range bins {
		bins[n] = uint64(n)
	}
	return bins
}

// assign puts each item into one of the bins and returns the bin per item. All
// bins get the same number of items, give or take one, and at most an even
// share of each class as far as that allows.
//
// It runs deferred acceptance: items propose to bins in the order of their
// scores, and a bin over its quota rejects its lowest-scored item. The result
// does not depend on the order of the items, and a change of one item only
// displaces items along one chain of proposals.
func assign(items []item, bins []uint64) []int {
	result := make([]int, len(items))
	for n := range result {
		result[n] = unassigned
	}
	if len(bins) == 0 {
		return result
	}
	even := len(items) / len(bins)
	classes := map[string]int{}
	for _, it := range items {
		classes[it.class]++
	}
	classQuota := make(map[string]int, len(classes))
	for class, n := range classes {
		classQuota[class] = (n + len(bins) - 1) / len(bins)
	}
	// The first round fills all bins to the even number. The second deals the
	// remainder, one per bin. The last one ignores the classes for items that
	// fit nowhere else.
	for _, round := range []matching{
		{quota: even, classQuota: classQuota},
		{quota: even + 1, classQuota: classQuota},
		{quota: even + 1},
	} {
		round.run(items, bins, result)
	}
	return result
}

// matching is one round of deferred acceptance. Items that already have a bin
// keep it and count towards its quotas.
type matching struct {
	quota int
	// classQuota bounds the items of a class in a bin; nil means no bound.
	classQuota map[string]int
}

// proposal is an item that a bin holds in this round.
type proposal struct {
	item  int
	score uint64
}

// bin is the state of one bin in a round.
type bin struct {
	room      int
	classRoom map[string]int
	held      []proposal
}

func (m matching) run(items []item, bins []uint64, result []int) {
	state := make([]bin, len(bins))
	for b := range state {
		state[b] = bin{room: m.quota, classRoom: map[string]int{}}
		for class, n := range m.classQuota {
			state[b].classRoom[class] = n
		}
	}
	var open []int
	for n, b := range result {
		if b == unassigned {
			open = append(open, n)
			continue
		}
		state[b].room--
		state[b].classRoom[items[n].class]--
	}
	last := make(map[int]uint64, len(open))
	for len(open) > 0 {
		n := open[len(open)-1]
		open = open[:len(open)-1]
		b, s := nextBin(items[n].hash, bins, last, n)
		if b == unassigned {
			continue
		}
		last[n] = s
		if rejected := m.propose(&state[b], items, proposal{n, s}); rejected != unassigned {
			open = append(open, rejected)
		}
	}
	for b := range state {
		for _, p := range state[b].held {
			result[p.item] = b
		}
	}
}

// nextBin returns the bin with the highest score below the item's last one.
func nextBin(hash uint64, bins []uint64, last map[int]uint64, n int) (int, uint64) {
	limit, proposed := last[n]
	best, bestScore := unassigned, uint64(0)
	for b := range bins {
		s := score(hash, bins[b])
		if proposed && s >= limit {
			continue
		}
		if best == unassigned || s > bestScore {
			best, bestScore = b, s
		}
	}
	return best, bestScore
}

// propose adds an item to a bin and returns the item that the bin rejects.
func (m matching) propose(b *bin, items []item, p proposal) int {
	at, _ := slices.BinarySearchFunc(b.held, p, func(x, y proposal) int {
		return cmp.Or(cmp.Compare(x.score, y.score), cmp.Compare(items[x.item].name, items[y.item].name))
	})
	b.held = slices.Insert(b.held, at, p)
	if m.classQuota != nil {
		class := items[p.item].class
		if b.count(items, class) > b.classRoom[class] {
			return b.reject(func(x proposal) bool { return items[x.item].class == class })
		}
	}
	if len(b.held) > b.room {
		return b.reject(func(proposal) bool { return true })
	}
	return unassigned
}

func (b *bin) count(items []item, class string) int {
	n := 0
	for _, p := range b.held {
		if items[p.item].class == class {
			n++
		}
	}
	return n
}

// reject removes the lowest-scored item that matches.
func (b *bin) reject(matches func(proposal) bool) int {
	at := slices.IndexFunc(b.held, matches)
	n := b.held[at].item
	b.held = slices.Delete(b.held, at, at+1)
	return n
}
