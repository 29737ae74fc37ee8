package picker

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// maxGenerationEntries bounds each of the two generations of the index.
	// Twelve engines of 4,000 blocks hold about 3,000 chunks.
	maxGenerationEntries = 1 << 13
	// maxChunkHolders bounds the servers remembered per chunk.
	maxChunkHolders = 8
	// maxMatches bounds the candidates that are added because they hold a
	// prefix.
	maxMatches = 8
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
	// chunkTokens is the estimated number of prompt tokens per hash of a cache
	// event.
	chunkTokens = egretflow.PrefixChunkBytes / egretflow.PromptBytesPerToken
)

// cacheState is what this instance knows about the prefix cache of one server.
type cacheState struct {
	// position counts the tokens that were stored or moved to the front of the order
	// of use; it may wrap around. What was used last at a position before oldestKept
	// counts as evicted.
	position   uint32
	oldestKept uint32
	// keptTokens is the number of tokens that are kept, of at most capacityTokens.
	keptTokens     int
	capacityTokens int
	// pendingTokens counts the tokens by which running prefills will advance
	// position.
	pendingTokens uint32
	// trust scales the expected reuse, from minTrust to 1.
	trust float64
	// sequence is that of the last cache event, 0 before the first one; eventAt
	// is when it arrived.
	sequence uint64
	eventAt  time.Time
}

func cacheCapacity(spec *egretflow.Server) int {
	return max(1, min(spec.Blocks*egretflow.BlockTokens, egretflow.MaxTokens))
}

// clear invalidates all entries of the server.
func (c *cacheState) clear() {
	c.position += uint32(c.capacityTokens)
	c.oldestKept, c.keptTokens = c.position, 0
}

// advance counts tokens that the server has stored, and others that it has moved to
// the front of the order of use.
func (c *cacheState) advance(stored, moved uint32) {
	c.position += stored + moved
	c.keptTokens += int(stored)
}

// evictDownTo notes that at most the given number of tokens can be kept.
func (c *cacheState) evictDownTo(tokens int) {
	if c.keptTokens <= tokens {
		return
	}
	c.keptTokens = tokens
	if oldest := c.position - uint32(tokens); int32(oldest-c.oldestKept) > 0 {
		c.oldestKept = oldest
	}
}

// forget discards what is known about the cache of a process that is gone.
func (c *cacheState) forget() {
	c.clear()
	c.trust, c.sequence, c.eventAt = 1, 0, time.Time{}
}

// holder is a server that holds a beginning of a prompt.
type holder struct {
	server *Server
	// usedAt is the server's position once it has used the beginning last.
	usedAt uint32
	// tokens is the length of what the server keeps; 0 means all that the hash
	// covers.
	tokens uint32
	// addedAtMS is in Unix milliseconds. A time.Time would make the index
	// larger.
	addedAtMS int64
}

func (h *holder) valid() bool {
	return h.server != nil && !h.server.delisted && h.newerTokens() < h.server.cache.capacityTokens
}

// newerTokens returns the tokens that the server uses after its last use of the
// beginning, and before a prompt that is placed there now.
func (h *holder) newerTokens() int {
	c := &h.server.cache
	return max(0, int(int32(c.position+c.pendingTokens-h.usedAt)))
}

type holders [maxChunkHolders]holder

// match is a server that holds the beginning of a prompt.
type match struct {
	holder
	// chunks is the number of elements of the prefix that the server holds.
	chunks int
}

// prefixIndex maps beginnings of prompts to the servers that hold them. New entries go to
// young; when it has maxGenerationEntries, it becomes old and the previous old
// is discarded. So an entry is lost if it is not added again in the meantime.
type prefixIndex struct {
	young, old map[egretflow.PrefixHash]*holders
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{young: map[egretflow.PrefixHash]*holders{}, old: map[egretflow.PrefixHash]*holders{}}
}

// get returns the holders of h, or nil.
func (x *prefixIndex) get(h egretflow.PrefixHash) *holders {
	if e, ok := x.young[h]; ok {
		return e
	}
	return x.old[h]
}

// renew returns the holders of h to change, as an entry of young.
func (x *prefixIndex) renew(h egretflow.PrefixHash) *holders {
	if e, ok := x.young[h]; ok {
		return e
	}
	e, ok := x.old[h]
	if !ok {
		e = &holders{}
	}
	if len(x.young) >= maxGenerationEntries {
		clear(x.old)
		x.young, x.old = x.old, x.young
	}
	x.young[h] = e
	return e
}

// add records that s holds the chunks of prefix since a time.
func (x *prefixIndex) add(s *Server, prefix []egretflow.PrefixHash, since time.Time) {
	x.addPrompt(s, prefix, nil, since)
}

// addPrompt records that s has computed a prompt and holds its beginnings since a
// time. ends holds their lengths in tokens; if it is empty, each is a chunk longer
// than the one before.
func (x *prefixIndex) addPrompt(s *Server, prefix []egretflow.PrefixHash, ends []int, since time.Time) {
	u := x.useOf(s, prefix, ends, since)
	s.cache.advance(u.stored, u.moved)
	x.refresh(s, prefix, ends, since)
}

// refresh records that s uses the beginnings of a prompt. Engines use all of them
// together, so all count as last used at the same time.
func (x *prefixIndex) refresh(s *Server, prefix []egretflow.PrefixHash, ends []int, since time.Time) {
	for n, h := range prefix {
		added := holder{server: s, usedAt: s.cache.position, addedAtMS: since.UnixMilli()}
		if n < len(ends) {
			added.tokens = uint32(ends[n])
		}
		x.addHolder(h, added)
	}
}

// cacheUse is what a prompt changes in the cache of a server.
type cacheUse struct {
	// held is the number of first elements of the prefix that the server holds.
	held int
	// stored counts the tokens that it does not hold, moved the others, by which
	// the rest is expected to move back in the order of use.
	stored uint32
	moved  uint32
}

// useOf returns what a prompt changes in the cache of s.
func (x *prefixIndex) useOf(s *Server, prefix []egretflow.PrefixHash, ends []int, now time.Time) cacheUse {
	var u cacheUse
	begin := 0
	for n, h := range prefix {
		end := begin + chunkTokens
		if n < len(ends) {
			end = ends[n]
		}
		held, newer := x.heldTokens(s, h, end, now)
		if held == end && u.held == n {
			u.held++
		}
		u.stored += uint32(max(0, end-max(begin, held)))
		// What was used before the beginning does not move back, so the share that
		// does follows its place in the order.
		moved := float64(max(0, held-begin)) * min(1, float64(newer)/float64(max(1, s.cache.keptTokens)))
		u.moved += uint32(moved)
		begin = end
	}
	return u
}

// heldTokens returns the tokens of the beginning h with the given length that s
// holds, and those that it has used since.
func (x *prefixIndex) heldTokens(s *Server, h egretflow.PrefixHash, length int, now time.Time) (held, newer int) {
	e := x.get(h)
	if e == nil {
		return 0, 0
	}
	for n := range e {
		if e[n].server != s || !e[n].valid() {
			continue
		}
		if held = length; e[n].tokens > 0 {
			held = min(length, int(e[n].tokens))
		}
		if s.keptProbability(&e[n], held, now) < 0.5 {
			return 0, 0
		}
		return held, e[n].newerTokens()
	}
	return 0, 0
}

// addHolder adds a holder of h in place of an earlier entry of the same server,
// otherwise of one that is no longer valid, otherwise of the oldest one.
func (x *prefixIndex) addHolder(h egretflow.PrefixHash, added holder) {
	e := x.renew(h)
	slot := 0
	for n := range e {
		if e[n].server == added.server {
			slot = n
			break
		}
		if !e[n].valid() || e[n].addedAtMS < e[slot].addedAtMS && e[slot].valid() {
			slot = n
		}
	}
	if e[slot].server == added.server && e[slot].valid() {
		added.addedAtMS = max(added.addedAtMS, e[slot].addedAtMS)
	}
	e[slot] = added
}

// validHolders appends the servers that still hold the beginning h to matches, up to
// maxMatches.
func (x *prefixIndex) validHolders(h egretflow.PrefixHash, chunks int, matches []match) []match {
	e := x.get(h)
	if e == nil {
		return matches
	}
	for n := range e {
		if len(matches) < maxMatches && e[n].valid() && !containsServer(matches, e[n].server) {
			matches = append(matches, match{e[n], chunks})
		}
	}
	return matches
}

// isHeld reports whether a server still holds the beginning h.
func (x *prefixIndex) isHeld(h egretflow.PrefixHash) bool {
	e := x.get(h)
	return e != nil && slices.ContainsFunc(e[:], func(k holder) bool { return k.valid() })
}

// find appends the servers that hold the longest prefixes to matches, up to
// maxMatches. A server that holds a chunk holds all chunks before it, so the
// longest prefix is found by bisection.
func (x *prefixIndex) find(prefix []egretflow.PrefixHash, matches []match) []match {
	low, high := 0, len(prefix)
	for low < high {
		middle := (low + high + 1) / 2
		if x.isHeld(prefix[middle-1]) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	for chunks := low; chunks > 0 && len(matches) < maxMatches; chunks -= max(1, chunks/2) {
		matches = x.validHolders(prefix[chunks-1], chunks, matches)
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
	e := x.get(h)
	if e == nil {
		return
	}
	for n := range e {
		if e[n].server == s && now.UnixMilli()-e[n].addedAtMS > removalGrace.Milliseconds() {
			e[n] = holder{}
		}
	}
}

// removeAdded removes s as a holder of those chunks of prefix that were added
// at the given time.
func (x *prefixIndex) removeAdded(s *Server, prefix []egretflow.PrefixHash, at time.Time) {
	for _, h := range prefix {
		e := x.get(h)
		if e == nil {
			continue
		}
		for n := range e {
			if e[n].server == s && e[n].addedAtMS == at.UnixMilli() {
				e[n] = holder{}
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
	c.sequence, c.eventAt = e.Sequence, now
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
		c.clear()
	}
}
