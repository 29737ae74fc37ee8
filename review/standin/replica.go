package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the sheet of vonwiller-strop.
const (
	engineTokens = 38411
	engineSlots  = 128
	serviceSlots = 6
	// serviceQueue is how many requests wait at a service replica.
	serviceQueue = 24
	tokensPerMS  = 33.3333
	eventTokens  = 13
	eventPause   = 60 * time.Millisecond
	roleSwitch   = 6 * time.Second
	heartbeat    = 1200 * time.Millisecond
	// missedHeartbeats is how many heartbeats a silent replica may miss before its entry is
	// removed.
	missedHeartbeats = 3
)

// replica is a stand-in of a replica: an engine if stage isn't empty, else a service.
type replica struct {
	id, service string
	address     string
	born        int64
	w           *world

	mu       sync.Mutex
	stage    string
	state    string
	sequence int
	orders   int
	used     int // tokens of holds and runs
	holds    map[string]int
	handles  map[string]bool
	runs     map[string]int // events made
	slots    chan struct{}
	waiting  int
	prefills sync.Mutex
	next     int
	leaving  bool
	crashed  bool
	// onRun, if set, is called when a request begins to run; false ends the handler.
	onRun  func(r *replica, q *http.Request) bool
	server *http.Server
	stop   chan struct{} // closed when the process has ended
}

func blankReplica(w *world, id, service, stage string) *replica {
	return &replica{id: id, service: service, stage: stage, state: "ready", born: time.Now().UnixMilli(), w: w,
		holds: map[string]int{}, handles: map[string]bool{}, runs: map[string]int{}, slots: make(chan struct{}, serviceSlots)}
}

func (w *world) newReplica(id, service, stage string) *replica {
	r := blankReplica(w, id, service, stage)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	r.serve(ln)
	w.replicas = append(w.replicas, r)
	return r
}

// serve starts the replica: it serves and registers itself.
func (r *replica) serve(ln net.Listener) {
	r.address, r.stop = ln.Addr().String(), make(chan struct{})
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(ln) }()
	r.register()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-r.stop:
				return
			case <-ticker.C:
				r.register()
			}
		}
	}()
}

// crash ends the replica as a process that crashes does: its connections are closed,
// nobody listens, and its entry goes after three heartbeats of silence. After downFor
// it is back at its address, as a new incarnation with another id.
func (r *replica) crash(downFor time.Duration) {
	r.mu.Lock()
	if r.crashed {
		r.mu.Unlock()
		return
	}
	r.crashed = true
	r.mu.Unlock()
	r.w.record("crash   replica=%s", r.id)
	close(r.stop)
	_ = r.server.Close()
	time.AfterFunc(missedHeartbeats*heartbeat, func() { r.w.store.Delete("servers/" + r.id) })
	time.AfterFunc(downFor, func() {
		ln, err := net.Listen("tcp", r.address)
		if err != nil {
			fatal(err)
		}
		next := newIncarnation(r)
		r.w.record("back    replica=%s address=%s", next.id, r.address)
		next.serve(ln)
	})
}

func newIncarnation(r *replica) *replica {
	name, n, _ := strings.Cut(r.id, ".")
	count, _ := strconv.Atoi(n)
	next := blankReplica(r.w, fmt.Sprintf("%s.%d", name, count+1), r.service, r.stage)
	next.onRun = r.onRun
	return next
}

func (r *replica) register() {
	r.mu.Lock()
	r.sequence++
	slots := serviceSlots
	if r.stage != "" {
		slots = engineSlots
	}
	entry := map[string]any{"service": r.service, "address": r.address, "zone": "z", "version": "v1", "slots": slots, "state": r.state,
		"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born}
	if r.stage != "" {
		entry["stage"] = r.stage
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	r.mu.Unlock()
	r.w.store.Put("servers/"+r.id, entry)
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if e := q.Header.Get("X-Expect-Instance"); e != "" && e != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case q.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", r.id)
	case q.URL.Path == "/report":
		r.serveReport(w)
	case q.URL.Path == "/order":
		r.serveOrder(w, q)
	case q.URL.Path == "/hold-take":
		r.takeHold(w, q)
	case strings.HasPrefix(q.URL.Path, "/hold-drop/"):
		r.dropHold(strings.TrimPrefix(q.URL.Path, "/hold-drop/"))
	case strings.HasPrefix(q.URL.Path, "/kv-handle/"):
		r.mu.Lock()
		delete(r.handles, strings.TrimPrefix(q.URL.Path, "/kv-handle/"))
		r.mu.Unlock()
	case r.stage == "":
		r.serveCall(w, q)
	case q.Header.Get("X-Stage") == "prefill":
		r.servePrefill(w, q)
	default:
		r.serveStream(w, q)
	}
}

func (r *replica) serveReport(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := [][]any{}
	for id, n := range r.runs {
		runs = append(runs, []any{id, 3200, n, 5})
	}
	answer(w, 200, map[string]any{"stage": r.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false,
		"sequence": r.orders, "waiting": 0, "running": len(runs), "kv_used": r.used, "kv_total": engineTokens, "handles": len(r.handles), "runs": runs})
}

func (r *replica) serveOrder(w http.ResponseWriter, q *http.Request) {
	var in struct {
		Stage    string `json:"stage"`
		Expected *int   `json:"expected"`
	}
	_ = json.NewDecoder(q.Body).Decode(&in)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.record("order replica=%s stage=%s", r.id, in.Stage)
	if in.Expected != nil && *in.Expected != r.orders {
		answer(w, 409, map[string]any{})
		return
	}
	r.orders++
	time.AfterFunc(roleSwitch, func() {
		r.mu.Lock()
		r.stage = in.Stage
		r.mu.Unlock()
		r.register()
	})
	answer(w, 202, map[string]any{})
}

func (r *replica) takeHold(w http.ResponseWriter, q *http.Request) {
	var in struct {
		Tokens int `json:"tokens"`
		TTL    int `json:"ttl_ms"`
	}
	_ = json.NewDecoder(q.Body).Decode(&in)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.used+in.Tokens > engineTokens {
		answer(w, 503, map[string]any{})
		return
	}
	r.next++
	id := "h" + strconv.Itoa(r.next)
	r.holds[id] = in.Tokens
	r.used += in.Tokens
	time.AfterFunc(time.Duration(min(in.TTL, 2000))*time.Millisecond, func() { r.dropHold(id) })
	answer(w, 200, map[string]any{"hold": id})
}

func (r *replica) dropHold(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used -= r.holds[id]
	delete(r.holds, id)
}

// begin notes that a request runs and returns the header of its answer.
func (r *replica) begin(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Stamp", "stamp."+r.id+"."+id)
	if r.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	r.w.ran(id, r)
}

func reject(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (r *replica) serveCall(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	r.mu.Lock()
	full := r.waiting >= serviceSlots+serviceQueue
	if !full {
		r.waiting++
	}
	r.mu.Unlock()
	if full {
		reject(w, q)
		return
	}
	defer func() { r.mu.Lock(); r.waiting--; r.mu.Unlock() }()
	select {
	case r.slots <- struct{}{}:
	case <-q.Context().Done():
		return
	}
	defer func() { <-r.slots }()
	r.begin(w, q)
	if r.onRun != nil && !r.onRun(r, q) {
		return
	}
	time.Sleep(r.w.work(q.Header.Get("X-Request-Id")))
	body := strings.Repeat("x", 800)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

func (r *replica) servePrefill(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	tokens, _, _ := strings.Cut(q.Header.Get("X-Token-Counts"), ",")
	n, _ := strconv.Atoi(tokens)
	r.prefills.Lock()
	time.Sleep(time.Duration(float64(n) / tokensPerMS * float64(time.Millisecond)))
	r.prefills.Unlock()
	r.mu.Lock()
	r.next++
	handle := fmt.Sprintf("%s-%d", r.id, r.next)
	r.handles[handle] = true
	r.mu.Unlock()
	w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
	answer(w, 200, map[string]any{"handle": handle, "tokens": n, "version": 1})
}

func (r *replica) serveStream(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get("X-Request-Id")
	in, out, _ := strings.Cut(q.Header.Get("X-Token-Counts"), ",")
	prompt, _ := strconv.Atoi(in)
	output, _ := strconv.Atoi(out)
	r.dropHold(q.Header.Get("X-Hold"))
	r.mu.Lock()
	if r.used+prompt+output > engineTokens {
		r.mu.Unlock()
		reject(w, q)
		return
	}
	r.used += prompt + output
	r.runs[id] = 0
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.used -= prompt + output
		delete(r.runs, id)
		r.mu.Unlock()
	}()
	r.begin(w, q)
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= (output+eventTokens-1)/eventTokens; n++ {
		select {
		case <-time.After(r.w.pause(q)):
		case <-q.Context().Done():
			return
		}
		r.mu.Lock()
		r.runs[id] = n
		r.mu.Unlock()
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("t", 40))
		w.(http.Flusher).Flush()
		if n == first+1 && r.onRun != nil && !r.onRun(r, q) {
			return
		}
	}
}
