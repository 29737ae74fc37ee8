package engine

import (
	"container/list"

	"github.com/egretflow/egretflow"
)

const (
	chunkTokens = egretflow.PrefixChunkBytes / egretflow.PromptBytesPerToken
	chunkBlocks = chunkTokens / egretflow.BlockTokens
)

// memory accounts for the memory blocks of an engine. A block is either private to
// a request or belongs to a cached prompt chunk. A chunk that no request uses
// counts as free, but stays cached until its blocks are needed.
type memory struct {
	total   int
	private int
	chunks  map[uint64]*chunk
	// unused holds the chunks without references, in order of eviction.
	unused *list.List
	// stored and removed are called with the hashes of the chunks that were
	// added to the cache or evicted from it.
	stored  func(hashes []uint64)
	removed func(hashes []uint64)
}

// chunk is a cached prompt chunk of chunkBlocks blocks.
type chunk struct {
	hash   uint64
	refs   int
	unused *list.Element
}

// allocation is the memory of one request.
type allocation struct {
	private int
	chunks  []*chunk
}

func newMemory(total int, stored, removed func([]uint64)) *memory {
	return &memory{
		total: total, chunks: map[uint64]*chunk{}, unused: list.New(),
		stored: stored, removed: removed,
	}
}

// used returns the number of blocks that requests use.
func (m *memory) used() int {
	return m.private + (len(m.chunks)-m.unused.Len())*chunkBlocks
}

// allocate reserves the given number of blocks and reuses the cached chunks at the
// start of prefix for them. It returns nil if there are not enough free blocks.
func (m *memory) allocate(prefix []uint64, blocks int) *allocation {
	a := &allocation{private: blocks}
	for _, hash := range prefix {
		c, ok := m.chunks[hash]
		if !ok {
			break
		}
		a.chunks = append(a.chunks, c)
		a.private -= chunkBlocks
	}
	for _, c := range a.chunks {
		m.reference(c)
	}
	if m.used()+a.private > m.total {
		m.unreference(a.chunks)
		return nil
	}
	m.private += a.private
	m.evict()
	return a
}

// cacheChunks moves the full chunks of a computed prompt from the private blocks of
// the request to the cache.
func (m *memory) cacheChunks(a *allocation, prefix []uint64) {
	var added []uint64
	for _, hash := range prefix[len(a.chunks):] {
		c, ok := m.chunks[hash]
		if !ok {
			c = &chunk{hash: hash}
			m.chunks[hash] = c
			added = append(added, hash)
		}
		m.reference(c)
		a.chunks = append(a.chunks, c)
		a.private -= chunkBlocks
		m.private -= chunkBlocks
	}
	if len(added) > 0 {
		m.stored(added)
	}
}

func (m *memory) release(a *allocation) {
	m.private -= a.private
	m.unreference(a.chunks)
}

func (m *memory) reference(c *chunk) {
	if c.unused != nil {
		m.unused.Remove(c.unused)
		c.unused = nil
	}
	c.refs++
}

// unreference drops one reference to each chunk. It queues the last chunk for
// eviction first, because a chunk is useless without the chunks before it.
func (m *memory) unreference(chunks []*chunk) {
	for n := len(chunks) - 1; n >= 0; n-- {
		c := chunks[n]
		c.refs--
		if c.refs == 0 {
			c.unused = m.unused.PushBack(c)
		}
	}
}

func (m *memory) evict() {
	var evicted []uint64
	for m.private+len(m.chunks)*chunkBlocks > m.total && m.unused.Len() > 0 {
		c := m.unused.Remove(m.unused.Front()).(*chunk)
		delete(m.chunks, c.hash)
		evicted = append(evicted, c.hash)
	}
	if len(evicted) > 0 {
		m.removed(evicted)
	}
}
