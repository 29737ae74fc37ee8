package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

type taskKind string

const (
	// kindCombined tasks compute the prompt and the answer.
	kindCombined taskKind = "Combined"
	// kindPrefill tasks compute the prompt for another engine.
	kindPrefill taskKind = "Prefill"
	// kindImport tasks fetch the computed prompt from another engine and compute
	// the answer.
	kindImport taskKind = "Import"
)

type stage string

const (
	stageWaiting stage = "Waiting"
	stagePrefill stage = "Prefill"
	stageImport  stage = "Import"
	stageDecode  stage = "Decode"
	stageEnded   stage = "Ended"
)

// task is one completion request. Engine.mu guards all fields that change.
type task struct {
	id           string
	model        string
	chat         bool
	stream       bool
	includeUsage bool
	kind         taskKind
	priority     int
	maxTokens    int
	prompt       prompt
	kvSource     transferParams

	seq          uint64
	stage        stage
	memory       *allocation
	cachedTokens int
	generated    int
	// result is the location of a finished prefill, for the response to a
	// prefill request.
	result *transferParams
	// finishReason and err are the outcome of an ended task.
	finishReason string
	err          *apiError
	// reader is the connection that receives the response; nil if there is none.
	reader *reader
	// expiresAt is when an ended task, or a stream without a reader, is removed;
	// zero while the task has to be kept.
	expiresAt time.Time
	// cancelImport stops the fetch of the KV cache.
	cancelImport func()
}

// reader is one client connection that receives the response of a task.
type reader struct {
	// progress receives a value after a change of the task; its buffer of one
	// merges changes that were not read yet.
	progress chan struct{}
	// replaced is closed when another reader replaces this one or the engine
	// crashes.
	replaced chan struct{}
}

func newReader() *reader {
	return &reader{progress: make(chan struct{}, 1), replaced: make(chan struct{})}
}

func (t *task) notifyReader() {
	if t.reader == nil {
		return
	}
	select {
	case t.reader.progress <- struct{}{}:
	default:
	}
}

func (t *task) blocks() int {
	return (t.prompt.tokens + t.maxTokens + egretflow.BlockTokens - 1) / egretflow.BlockTokens
}

// tokensToCompute returns the number of prompt tokens that are not cached, at least
// 1.
func (t *task) tokensToCompute() int { return max(1, t.prompt.tokens-t.cachedTokens) }

func byPriority(a, b *task) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.seq, b.seq))
}

func insertByPriority(queue []*task, t *task) []*task {
	n, _ := slices.BinarySearchFunc(queue, t, byPriority)
	return slices.Insert(queue, n, t)
}

func remove(queue []*task, t *task) []*task {
	if n := slices.Index(queue, t); n >= 0 {
		return slices.Delete(queue, n, n+1)
	}
	return queue
}
