package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

// link holds the prefill results of an engine and the queue of their exports.
type link struct {
	nextBlockID int
	// results holds the retained prefill results by their first block id.
	results map[int]*result
	// exports is the queue of transfers; the first one is in progress.
	exports []*export
}

// result is a computed prompt that is retained for its import.
type result struct {
	id        int
	attempt   string
	memory    *allocation
	bytes     int64
	computed  int
	expiresAt time.Time
	exporting bool
}

// export is one transfer of a prefill result over the link.
type export struct {
	result *result
	// due is the work time at which the transfer is done.
	due time.Duration
	// done is closed when the transfer is done.
	done chan struct{}
	// failed is closed when the result is dropped during the transfer.
	failed chan struct{}
}

func (l *link) active() *export {
	if len(l.exports) == 0 {
		return nil
	}
	return l.exports[0]
}

// transferRequest is the body of POST /kv_transfer.
type transferRequest struct {
	EngineID string `json:"engine_id"`
	BlockIDs []int  `json:"block_ids"`
}

// retainResult retains the memory of a finished prefill for PrefillRetention and
// returns the parameters with which another engine imports it.
func (e *Engine) retainResult(now time.Time, t *task) *transferParams {
	count := (t.prompt.tokens + 15) / 16
	r := &result{
		id: e.link.nextBlockID, attempt: t.id, memory: t.memory, computed: t.tokensToCompute(),
		bytes:     int64(t.prompt.tokens) * e.cfg.KVBytesPerToken,
		expiresAt: now.Add(e.cfg.PrefillRetention),
	}
	e.link.results[r.id] = r
	ids := make([]int, count)
	for n := range ids {
		ids[n] = r.id + n
	}
	// Block ids are never reused, so an expired result is not taken for a later
	// one.
	e.link.nextBlockID += count
	return &transferParams{
		DoRemotePrefill: true, RemoteEngineID: e.engineID(), RemoteBlockIDs: ids,
		RemoteHost: e.cfg.Address.Addr().String(), RemotePort: int(e.cfg.Address.Port()),
	}
}

// dropResult frees a result that was not exported, counts its tokens as unused, and
// fails its transfer if one is queued.
func (e *Engine) dropResult(r *result) {
	for _, x := range e.link.exports {
		if x.result == r {
			e.cancelExport(x)
			close(x.failed)
			break
		}
	}
	e.stats.PrefillTokensUnused += r.computed
	delete(e.link.results, r.id)
	e.memory.release(r.memory)
}

func (e *Engine) finishExport() bool {
	x := e.link.active()
	if x == nil || e.workTime < x.due {
		return false
	}
	e.link.exports = e.link.exports[1:]
	e.scheduleExport()
	delete(e.link.results, x.result.id)
	e.memory.release(x.result.memory)
	e.stats.KVBytesSent += x.result.bytes
	close(x.done)
	return true
}

// scheduleExport starts the first export in the queue.
func (e *Engine) scheduleExport() {
	if x := e.link.active(); x != nil {
		x.due = e.workTime + durationAt(x.result.bytes, e.cfg.LinkBytesPerSecond)
	}
}

// queueExport queues the transfer of a prefill result. It returns nil if the result
// does not exist or is already being exported.
func (e *Engine) queueExport(req transferRequest) *export {
	if req.EngineID != e.engineID() || len(req.BlockIDs) == 0 {
		return nil
	}
	r, ok := e.link.results[req.BlockIDs[0]]
	if !ok || r.exporting {
		return nil
	}
	r.exporting = true
	x := &export{result: r, done: make(chan struct{}), failed: make(chan struct{})}
	e.link.exports = append(e.link.exports, x)
	if len(e.link.exports) == 1 {
		e.scheduleExport()
	}
	return x
}

// cancelExport removes a transfer from the queue. Its result can be fetched again
// until it expires.
func (e *Engine) cancelExport(x *export) {
	for n, other := range e.link.exports {
		if other != x {
			continue
		}
		e.link.exports = append(e.link.exports[:n:n], e.link.exports[n+1:]...)
		x.result.exporting = false
		if n == 0 {
			e.scheduleExport()
		}
		return
	}
}

func (e *Engine) serveTransfer(w http.ResponseWriter, r *http.Request) {
	var req transferRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		badRequest("decode body: %v", err).write(w)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	var x *export
	e.update(func(time.Time) { x = e.queueExport(req) })
	if x == nil {
		(&apiError{http.StatusGone, "kv_expired", "the prefill result is gone"}).write(w)
		return
	}
	select {
	case <-x.done:
		writeJSON(w, map[string]int64{"bytes": x.result.bytes})
	case <-x.failed:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		e.update(func(time.Time) { e.cancelExport(x) })
	}
}

// startImport fetches the KV cache of a task in a new goroutine.
func (e *Engine) startImport(t *task) {
	ctx, cancel := context.WithCancel(context.Background())
	t.cancelImport = cancel
	go func() {
		defer cancel()
		err := e.fetchKVCache(ctx, t.kvSource)
		e.update(func(now time.Time) { e.finishImport(now, t, err) })
	}()
}

func (e *Engine) finishImport(now time.Time, t *task, err *apiError) {
	switch {
	case t.stage != stageImport:
	case err != nil:
		e.endTask(now, t, "", err)
		delete(e.tasks, t.id)
	default:
		e.imports = remove(e.imports, t)
		e.memory.cacheChunks(t.memory, t.prompt.prefix)
		e.startDecode(t)
	}
}

func (e *Engine) fetchKVCache(ctx context.Context, p transferParams) *apiError {
	url := "http://" + net.JoinHostPort(p.RemoteHost, strconv.Itoa(p.RemotePort)) + "/kv_transfer"
	body, err := json.Marshal(transferRequest{EngineID: p.RemoteEngineID, BlockIDs: p.RemoteBlockIDs})
	if err != nil {
		return transferFailed(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return transferFailed(err)
	}
	resp, err := e.cfg.Client.Do(req)
	if err != nil {
		return transferFailed(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return transferFailed(err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusGone:
		return &apiError{http.StatusConflict, "kv_expired", "the prefill result is gone"}
	}
	return transferFailed(fmt.Errorf("status %d", resp.StatusCode))
}

func transferFailed(err error) *apiError {
	return &apiError{http.StatusBadGateway, "kv_transfer_failed", "fetch the KV cache: " + err.Error()}
}

// localAddress returns the local address of the connection, or the address in the
// Host header if the connection's is not known.
func localAddress(r *http.Request) netip.AddrPort {
	if addr, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok {
		if a, err := netip.ParseAddrPort(addr.String()); err == nil {
			return a
		}
	}
	a, _ := netip.ParseAddrPort(r.Host)
	return a
}
