package picker

import (
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// indexEntries bounds each of the two generations of the index. Twelve
	// engines of 4,000 blocks hold about 3,000 chunks.
	indexEntries = 1 << 13
	// maxHolders is the number of servers remembered per chunk.
	maxHolders = 3
	// maxMatches bounds the candidates that a prefix adds.
	maxMatches = 4
	// confirmFor is how long an own placement outweighs a removal event, which
	// may describe the time before it.
	confirmFor = time.Second
	// trustWeight is the weight of one cached_tokens report.
	trustWeight = 0.2
	// gapTrust scales the trust in a server for which cache events are missing.
	gapTrust = 0.8
	minTrust = 0.05
	// chunkTokens is the number of prompt tokens per element of Work.Prefix.
	chunkTokens = egretflow.PrefixChunkBytes / egretflow.PromptBytesPerToken
)

// cacheState is what is known of the prefix cache of one server.
type cacheState struct {
	// stored counts the chunks ever stored. A chunk is taken as evicted when
	// budget more were stored after it.
	stored   uint32
	budget   uint32
	trust    float64
	sequence uint64
}

func cacheBudget(spec *egretflow.Server) uint32 {
	return uint32(max(1, spec.Blocks*egretflow.BlockTokens/chunkTokens))
}

type holder struct {
	server *Server
	stamp  uint32
	// at is in Unix milliseconds, which keeps the index small.
	at int64
}

func (h *holder) valid() bool {
	return h.server != nil && !h.server.gone && h.server.cache.stored-h.stamp < h.server.cache.budget
}

type holders [maxHolders]holder

// match is a server that holds the first chunks of a prompt.
type match struct {
	server *Server
	chunks int
}

// prefixIndex maps chunks to the servers that hold them. Entries that are not
// used while indexEntries others are added drop out.
type prefixIndex struct {
	young, old map[egretflow.PrefixHash]holders
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{young: map[egretflow.PrefixHash]holders{}, old: map[egretflow.PrefixHash]holders{}}
}

func (x *prefixIndex) get(h egretflow.PrefixHash) (holders, bool) {
	if e, ok := x.young[h]; ok {
		return e, true
	}
	e, ok := x.old[h]
	return e, ok
}

func (x *prefixIndex) put(h egretflow.PrefixHash, e holders) {
	if len(x.young) >= indexEntries {
		clear(x.old)
		x.young, x.old = x.old, x.young
	}
	x.young[h] = e
}

// place notes that s holds the chunks since a time.
func (x *prefixIndex) place(s *Server, prefix []egretflow.PrefixHash, since time.Time) {
	for _, h := range prefix {
		e, _ := x.get(h)
		slot, known := 0, false
		for n := range e {
			if e[n].server == s {
				slot, known = n, e[n].valid()
				break
			}
			if !e[n].valid() || e[n].at < e[slot].at && e[slot].valid() {
				slot = n
			}
		}
		if !known {
			s.cache.stored++
		}
		at := since.UnixMilli()
		if known {
			at = max(at, e[slot].at)
		}
		e[slot] = holder{server: s, stamp: s.cache.stored, at: at}
		x.put(h, e)
	}
}

// held returns the valid holders of the chunk.
func (x *prefixIndex) held(h egretflow.PrefixHash) (holders, int) {
	e, ok := x.get(h)
	if !ok {
		return e, 0
	}
	n := 0
	for k := range e {
		if e[k].valid() {
			e[n] = e[k]
			n++
		}
	}
	return e, n
}

// find fills matches with the servers that hold the longest prefixes. A holder
// of a chunk holds all chunks before it, so the longest prefix is found by
// bisection.
func (x *prefixIndex) find(prefix []egretflow.PrefixHash, matches []match) []match {
	low, high := 0, len(prefix)
	for low < high {
		middle := (low + high + 1) / 2
		if _, n := x.held(prefix[middle-1]); n > 0 {
			low = middle
		} else {
			high = middle - 1
		}
	}
	for chunks := low; chunks > 0 && len(matches) < maxMatches; chunks /= 2 {
		e, n := x.held(prefix[chunks-1])
		for k := range n {
			if len(matches) < maxMatches && !contains(matches, e[k].server) {
				matches = append(matches, match{e[k].server, chunks})
			}
		}
	}
	return matches
}

func contains(matches []match, s *Server) bool {
	for n := range matches {
		if matches[n].server == s {
			return true
		}
	}
	return false
}

// remove drops s as holder unless an own placement is newer than events are
// late.
func (x *prefixIndex) remove(s *Server, h egretflow.PrefixHash, now time.Time) {
	e, ok := x.get(h)
	if !ok {
		return
	}
	for n := range e {
		if e[n].server == s && now.UnixMilli()-e[n].at > confirmFor.Milliseconds() {
			e[n] = holder{}
			x.put(h, e)
		}
	}
}

// revoke drops s as holder of the chunks that were placed at the given time.
func (x *prefixIndex) revoke(s *Server, prefix []egretflow.PrefixHash, at time.Time) {
	for _, h := range prefix {
		e, ok := x.get(h)
		if !ok {
			continue
		}
		for n := range e {
			if e[n].server == s && e[n].at == at.UnixMilli() {
				e[n] = holder{}
				x.put(h, e)
			}
		}
	}
}

// CacheEvent takes one event of the prefix cache of s.
func (p *Pool) CacheEvent(s *Server, e *egretflow.CacheEvent, now time.Time) {
	c := &s.cache
	if c.sequence != 0 && e.Sequence != c.sequence+1 {
		c.trust = max(minTrust, c.trust*gapTrust)
	}
	c.sequence = e.Sequence
	switch e.Type {
	case egretflow.CacheEventStored:
		// Older than confirmFor, so that a removal in the same batch counts.
		p.prefixes.place(s, e.Hashes, now.Add(-confirmFor-time.Millisecond))
	case egretflow.CacheEventRemoved:
		for _, h := range e.Hashes {
			p.prefixes.remove(s, h, now)
		}
	case egretflow.CacheEventCleared:
		c.stored += c.budget
	}
}

// Cached takes the reuse that the engine reported for a placement.
func (p *Pool) Cached(pl *Placement, reported int) {
	if pl.matched <= 0 {
		return
	}
	s := pl.Prefill
	ratio := min(1, float64(reported)/float64(pl.matched))
	s.cache.trust = max(minTrust, s.cache.trust+trustWeight*(ratio-s.cache.trust))
}
