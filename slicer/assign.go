package slicer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// item is a member, server or slice to be assigned to a bin.
type item struct {
	name string
	// domain is the failure domain; empty for a slice.
	domain string
	// hash is that of the name.
	hash uint64
}

func newItem(name, domain string) item {
	return item{name: name, domain: domain, hash: xxhash.Sum64String(name)}
}

// score returns the rendezvous score of an item for a bin, given their hashes. It
// applies the finalizer of splitmix64.
func score(item, bin uint64) uint64 {
	x := item + (bin+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unassigned is the index for no bin and for no item.
const unassigned = -1

// numberedBins returns the hashes of count bins that have no name: their indexes.
func numberedBins(count int) []uint64 {
	bins := make([]uint64, count)
	for n := range bins {
		bins[n] = uint64(n)
	}
	return bins
}

// assign assigns each item to one of the bins and returns the index of the bin of
// each item. The numbers of items per bin differ by at most one, and a bin gets at
// most an even share of each failure domain as far as that allows.
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
	perBin := len(items) / len(bins)
	domainSizes := map[string]int{}
	for _, it := range items {
		domainSizes[it.domain]++
	}
	domainQuota := make(map[string]int, len(domainSizes))
	for domain, n := range domainSizes {
		domainQuota[domain] = (n + len(bins) - 1) / len(bins)
	}
	// The first round fills all bins to the same number. The second assigns the
	// remainder, at most one item per bin. The third ignores the failure domains,
	// for items that found no bin under their quotas.
	for _, round := range []matching{
		{quota: perBin, domainQuota: domainQuota},
		{quota: perBin + 1, domainQuota: domainQuota},
		{quota: perBin + 1},
	} {
		round.run(items, bins, result)
	}
	return result
}

// matching is one round of deferred acceptance. Items that already have a bin
// keep it and count towards its quotas.
type matching struct {
	quota int
	// domainQuota bounds the items of a failure domain in a bin; nil means no bound.
	domainQuota map[string]int
}

// proposal is the index of an item that proposes to a bin, and its score there.
type proposal struct {
	item  int
	score uint64
}

// bin is the state of one bin in a round.
type bin struct {
	// free and domainFree are the quotas less the items of earlier rounds.
	free       int
	domainFree map[string]int
	// accepted holds the items of this round in the order of their scores, lowest
	// first.
	accepted []proposal
}

// run assigns the items without a bin in result, as far as the quotas allow.
func (m matching) run(items []item, bins []uint64, result []int) {
	state := make([]bin, len(bins))
	for b := range state {
		state[b] = bin{free: m.quota, domainFree: map[string]int{}}
		for domain, n := range m.domainQuota {
			state[b].domainFree[domain] = n
		}
	}
	var unmatched []int
	for n, b := range result {
		if b == unassigned {
			unmatched = append(unmatched, n)
			continue
		}
		state[b].free--
		state[b].domainFree[items[n].domain]--
	}
	lastScores := make(map[int]uint64, len(unmatched))
	for len(unmatched) > 0 {
		n := unmatched[len(unmatched)-1]
		unmatched = unmatched[:len(unmatched)-1]
		b, s := nextBin(items[n].hash, bins, lastScores, n)
		if b == unassigned {
			continue
		}
		lastScores[n] = s
		if rejected := m.propose(&state[b], items, proposal{n, s}); rejected != unassigned {
			unmatched = append(unmatched, rejected)
		}
	}
	for b := range state {
		for _, p := range state[b].accepted {
			result[p.item] = b
		}
	}
}

// nextBin returns the bin to which item n proposes next, and its score: the one with
// the highest score below that of its last proposal. It returns unassigned after
// the last bin.
func nextBin(hash uint64, bins []uint64, lastScores map[int]uint64, n int) (int, uint64) {
	limit, proposed := lastScores[n]
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

// propose adds an item to a bin and returns the item that the bin rejects, or
// unassigned if it rejects none.
func (m matching) propose(b *bin, items []item, p proposal) int {
	at, _ := slices.BinarySearchFunc(b.accepted, p, func(x, y proposal) int {
		return cmp.Or(cmp.Compare(x.score, y.score), cmp.Compare(items[x.item].name, items[y.item].name))
	})
	b.accepted = slices.Insert(b.accepted, at, p)
	if m.domainQuota != nil {
		domain := items[p.item].domain
		if b.acceptedOf(items, domain) > b.domainFree[domain] {
			return b.reject(func(x proposal) bool { return items[x.item].domain == domain })
		}
	}
	if len(b.accepted) > b.free {
		return b.reject(func(proposal) bool { return true })
	}
	return unassigned
}

// acceptedOf returns the number of accepted items of a failure domain.
func (b *bin) acceptedOf(items []item, domain string) int {
	n := 0
	for _, p := range b.accepted {
		if items[p.item].domain == domain {
			n++
		}
	}
	return n
}

// reject removes the lowest-scored item that matches and returns its index.
func (b *bin) reject(matches func(proposal) bool) int {
	at := slices.IndexFunc(b.accepted, matches)
	n := b.accepted[at].item
	b.accepted = slices.Delete(b.accepted, at, at+1)
	return n
}
