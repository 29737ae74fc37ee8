package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

type taskKind string

const (
	// kindCombined computes the prompt and the answer.
	kindCombined taskKind = "Combined"
	// kindPrefill computes the prompt for another engine.
	kindPrefill taskKind = "Prefill"
	// kindImport fetches the computed prompt and computes the answer.
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

// task is one request. The engine's mutex guards all fields that change.
type task struct {
	id        string
	model     string
	chat      bool
	stream    bool
	usage     bool
	kind      taskKind
	priority  int
	maxTokens int
	prompt    prompt
	source    transferParams

	seq       uint64
	stage     stage
	memory    *allocation
	cached    int
	generated int
	// result is the answer of a prefill request.
	result *transferParams
	// finish is the finish reason, err the error of an ended task.
	finish string
	err    *apiError
	// reader is the connection that receives the answer.
	reader *reader
	// dropAt is when the task is forgotten without a reader.
	dropAt time.Time
	// cancelImport stops the fetch of the KV cache.
	cancelImport func()
}

// reader is one connection that waits for progress of a task.
type reader struct {
	// progress holds a value after each change of the task.
	progress chan struct{}
	// replaced is closed when another reader took over or the engine crashed.
	replaced chan struct{}
}

func newReader() *reader {
	return &reader{progress: make(chan struct{}, 1), replaced: make(chan struct{})}
}

func (t *task) signal() {
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

// computeTokens is the number of prompt tokens to compute.
func (t *task) computeTokens() int { return max(1, t.prompt.tokens-t.cached) }

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
