package picker

import (
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// maxGenerationEntries bounds each of the two generations of the index.
	// Twelve engines of 4,000 blocks hold about 3,000 chunks.
	maxGenerationEntries = 1 << 13
	// maxChunkHolders bounds the servers remembered per chunk.
	maxChunkHolders = 3
	// maxMatches bounds the candidates that are added because they hold a
	// prefix.
	maxMatches = 4
	// removalGrace is how long a removal event is ignored after this instance
	// placed the chunk: the event may describe an earlier removal.
	removalGrace = time.Second
	// trustWeight is the weight of one reported cached_tokens value in the
	// trust of a server.
	trustWeight = 0.2
	// missedEventFactor scales the trust in a server when cache events are
	// missing.
	missedEventFactor = 0.8
	// minTrust is the lowest trust in a server.
	minTrust = 0.05
	// chunkTokens is the estimated number of prompt tokens per element of
	// Work.Prefix.
	chunkTokens = egretflow.PrefixChunkBytes / egretflow.PromptBytesPerToken
)

// cacheState is what this instance knows about the prefix cache of one server.
type cacheState struct {
	// storedChunks counts the chunks stored since the start. A chunk counts as
	// evicted once capacityChunks more were stored after it. trust scales the
	// expected reuse, from minTrust to 1. sequence is that of the last cache
	// event; 0 before the first one.
	storedChunks   uint32
	capacityChunks uint32
	trust          float64
	sequence       uint64
}

func cacheCapacity(spec *egretflow.Server) uint32 {
	return uint32(max(1, spec.Blocks*egretflow.BlockTokens/chunkTokens))
}

// holder is a server that holds a chunk.
type holder struct {
	server *Server
	// storedCount is the server's storedChunks when the chunk was added.
	storedCount uint32
	// addedAtMS is in Unix milliseconds. A time.Time would make the index
	// larger.
	addedAtMS int64
}

func (h *holder) valid() bool {
	return h.server != nil && !h.server.delisted && h.server.cache.storedChunks-h.storedCount < h.server.cache.capacityChunks
}

type holders [maxChunkHolders]holder

// match is a server that holds the first chunks of a prompt, and their number.
type match struct {
	server *Server
	chunks int
}

// prefixIndex maps chunks to the servers that hold them. New entries go to
// young; when it has maxGenerationEntries, it becomes old and the previous old
// is discarded. So an entry is lost if it is not added again in the meantime.
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
	if len(x.young) >= maxGenerationEntries {
		clear(x.old)
		x.young, x.old = x.old, x.young
	}
	x.young[h] = e
}

// add records that s holds the chunks of prefix since a time.
func (x *prefixIndex) add(s *Server, prefix []egretflow.PrefixHash, since time.Time) {
	for _, h := range prefix {
		e, _ := x.get(h)
		slot, known := 0, false
		for n := range e {
			if e[n].server == s {
				slot, known = n, e[n].valid()
				break
			}
			if !e[n].valid() || e[n].addedAtMS < e[slot].addedAtMS && e[slot].valid() {
				slot = n
			}
		}
		if !known {
			s.cache.storedChunks++
		}
		at := since.UnixMilli()
		if known {
			at = max(at, e[slot].addedAtMS)
		}
		e[slot] = holder{server: s, storedCount: s.cache.storedChunks, addedAtMS: at}
		x.put(h, e)
	}
}

// validHolders returns the servers that still hold the chunk, and their number.
func (x *prefixIndex) validHolders(h egretflow.PrefixHash) (holders, int) {
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

// find appends the servers that hold the longest prefixes to matches, up to
// maxMatches. A server that holds a chunk holds all chunks before it, so the
// longest prefix is found by bisection.
func (x *prefixIndex) find(prefix []egretflow.PrefixHash, matches []match) []match {
	low, high := 0, len(prefix)
	for low < high {
		middle := (low + high + 1) / 2
		if _, n := x.validHolders(prefix[middle-1]); n > 0 {
			low = middle
		} else {
			high = middle - 1
		}
	}
	for chunks := low; chunks > 0 && len(matches) < maxMatches; chunks /= 2 {
		e, n := x.validHolders(prefix[chunks-1])
		for k := range n {
			if len(matches) < maxMatches && !containsServer(matches, e[k].server) {
				matches = append(matches, match{e[k].server, chunks})
			}
		}
	}
	return matches
}

func containsServer(matches []match, s *Server) bool {
	for n := range matches {
		if matches[n].server == s {
			return true
		}
	}
	return false
}

// remove removes s as a holder of the chunk, unless it was added less than
// removalGrace ago.
func (x *prefixIndex) remove(s *Server, h egretflow.PrefixHash, now time.Time) {
	e, ok := x.get(h)
	if !ok {
		return
	}
	for n := range e {
		if e[n].server == s && now.UnixMilli()-e[n].addedAtMS > removalGrace.Milliseconds() {
			e[n] = holder{}
			x.put(h, e)
		}
	}
}

// removeAdded removes s as a holder of those chunks of prefix that were added
// at the given time.
func (x *prefixIndex) removeAdded(s *Server, prefix []egretflow.PrefixHash, at time.Time) {
	for _, h := range prefix {
		e, ok := x.get(h)
		if !ok {
			continue
		}
		for n := range e {
			if e[n].server == s && e[n].addedAtMS == at.UnixMilli() {
				e[n] = holder{}
				x.put(h, e)
			}
		}
	}
}

// ApplyCacheEvent applies one event of the prefix cache of s to the index. A
// gap in the sequence numbers lowers the trust in s.
func (p *Pool) ApplyCacheEvent(s *Server, e *egretflow.CacheEvent, now time.Time) {
	c := &s.cache
	if c.sequence != 0 && e.Sequence != c.sequence+1 {
		c.trust = max(minTrust, c.trust*missedEventFactor)
	}
	c.sequence = e.Sequence
	switch e.Type {
	case egretflow.CacheEventStored:
		// Older than removalGrace, so that a removal in the same batch takes
		// effect.
		p.prefixes.add(s, e.Hashes, now.Add(-removalGrace-time.Millisecond))
	case egretflow.CacheEventRemoved:
		for _, h := range e.Hashes {
			p.prefixes.remove(s, h, now)
		}
	case egretflow.CacheEventCleared:
		c.storedChunks += c.capacityChunks
	}
}

// ObserveCachedTokens adjusts the trust in the prefill server by the number of
// cached tokens that the engine reported for a placement.
func (p *Pool) ObserveCachedTokens(pl *Placement, reported int) {
	if pl.matchedTokens <= 0 {
		return
	}
	s := pl.Prefill
	ratio := min(1, float64(reported)/float64(pl.matchedTokens))
	s.cache.trust = max(minTrust, s.cache.trust+trustWeight*(ratio-s.cache.trust))
}
