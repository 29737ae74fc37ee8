package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// What the sheet of kpp-egret says of its replicas.
const (
	beatEvery      = 1200 * time.Millisecond
	drainTime      = 2000 * time.Millisecond
	handleTime     = 500 * time.Millisecond
	switchTime     = 6 * time.Second
	eventTime      = 43 * time.Millisecond // 13 tokens of 3.3 ms
	streamEvents   = 6                     // 72 tokens in pieces of 13
	tokensPerMilli = 33
	callTime       = 60 * time.Millisecond
	deskSlots      = 6
	engineSlots    = 64
	kvTotal        = 34221
)

// replica is a sound server of the platform: an engine if it has a stage, and else a plain
// service.
type replica struct {
	w                *world
	name, service    string
	zone, address    string
	server           *http.Server
	born             int64
	mu               sync.Mutex
	stage, state     string
	beats, orders    int
	fence            int64
	busyUntil        time.Time
	leaving, gone    bool
	waiting, running int
	handles          map[string]time.Time
	holds            map[string]time.Time
	next             int
	runs             map[string]int
	retryAfter       time.Duration
	garbledAnswers   float64
	lostAnswers      float64
	refusedAt        map[string]time.Time
	stopBeats        chan struct{}
}

func (w *world) startReplica(name, service, zone, stage string) *replica {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("listen: %v", err)
	}
	p := &replica{
		w: w, name: name, service: service, zone: zone, address: ln.Addr().String(), stage: stage, state: "ready", born: time.Now().UnixMilli(),
		handles: map[string]time.Time{}, holds: map[string]time.Time{}, runs: map[string]int{}, refusedAt: map[string]time.Time{}, stopBeats: make(chan struct{}),
	}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(ln) }()
	go p.beat()
	w.mu.Lock()
	w.replicas = append(w.replicas, p)
	w.mu.Unlock()
	return p
}

// entry returns what the replica writes into the store.
func (p *replica) entry() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beats++
	e := map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots(), "state": p.state,
		"cold_remaining_ms": 0, "sequence": p.beats, "born": p.born,
	}
	if p.stage != "" {
		e["stage"], e["models"] = p.stage, []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	data, _ := json.Marshal(e)
	return data
}

func (p *replica) slots() int {
	if p.stage == "" {
		return deskSlots
	}
	return engineSlots
}

// write writes the entry and returns whether the store has accepted it.
func (p *replica) write() bool { return p.w.store.beat("servers/"+p.name, p.entry()) }

func (p *replica) beat() {
	p.write()
	for {
		select {
		case <-p.stopBeats:
			return
		case <-time.After(beatEvery):
			p.write()
		}
	}
}

// leave reports draining, serves for drainTime and longer after the store has accepted the
// report, and exits. It returns when the report is accepted.
func (p *replica) leave(longer time.Duration) time.Time {
	p.mu.Lock()
	p.state, p.leaving = "draining", true
	p.mu.Unlock()
	for !p.write() {
		time.Sleep(50 * time.Millisecond)
	}
	at := time.Now()
	p.w.note("%s: the store has acknowledged that it is draining, at revision %d", p.name, p.w.store.revision())
	go func() {
		time.Sleep(drainTime + longer)
		p.exit()
	}()
	return at
}

// exit ends the replica. What still runs there is cut.
func (p *replica) exit() {
	p.mu.Lock()
	running := p.running
	p.gone = true
	p.mu.Unlock()
	close(p.stopBeats)
	_ = p.server.Close()
	p.w.note("%s: exits with %d requests at work", p.name, running)
	for !p.w.store.remove("servers/" + p.name) {
		time.Sleep(50 * time.Millisecond)
	}
}

func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	if p.leaving {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	p.mu.Unlock()
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != p.name {
		w.Header().Set("X-Instance-Id", p.name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", p.name)
	case r.URL.Path == "/report":
		p.report(w)
	case r.URL.Path == "/order":
		p.order(w, r)
	case r.URL.Path == "/hold-take":
		p.takeHold(w)
	case strings.HasPrefix(r.URL.Path, "/hold-drop/"), strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		p.free(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	case r.URL.Path == "/kv-events":
		time.Sleep(200 * time.Millisecond)
		reply(w, http.StatusOK, map[string]any{"epoch": p.born, "next": 0, "lost": false, "events": []any{}})
	case r.URL.Path == "/kv-list":
		reply(w, http.StatusOK, map[string]any{"epoch": p.born, "next": 0, "held": []any{}})
	default:
		p.request(w, r)
	}
}

func (p *replica) report(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage": p.stage, "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": time.Now().Before(p.busyUntil),
		"sequence": p.orders, "waiting": 0, "running": p.running, "kv_used": 1500 * p.running, "kv_total": kvTotal, "handles": len(p.handles),
		"state": p.state, "runs": []any{}, "born": p.born,
	})
}

func (p *replica) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Stage, Holder string
		Fence                    int64 `json:"fencing_token"`
		Expected                 *int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Operation != "stage" || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := p.take(o.Stage, o.Fence, o.Expected)
	p.w.note("%s: order of %s with fencing token %d to become %s, answered %d", p.name, o.Holder, o.Fence, o.Stage, status)
	p.w.ordered(order{time.Now(), p, o.Holder, o.Fence, status})
	w.WriteHeader(status)
}

// take carries out an order to change the stage, and returns the status of the answer.
func (p *replica) take(stage string, fence int64, expected *int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case fence < p.fence:
		return http.StatusPreconditionFailed
	case expected != nil && *expected != p.orders, time.Now().Before(p.busyUntil):
		return http.StatusConflict
	}
	p.fence = fence
	if stage == p.stage {
		return http.StatusOK
	}
	p.orders++
	p.busyUntil = time.Now().Add(switchTime)
	time.AfterFunc(switchTime, func() {
		p.mu.Lock()
		p.stage = stage
		p.mu.Unlock()
	})
	return http.StatusAccepted
}

func (p *replica) takeHold(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running >= engineSlots || time.Now().Before(p.busyUntil) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.next++
	id := fmt.Sprintf("h-%s-%d", p.name, p.next)
	p.holds[id] = time.Now()
	reply(w, http.StatusOK, map[string]string{"hold": id})
}

func (p *replica) free(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.holds, id)
	delete(p.handles, id)
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (p *replica) request(w http.ResponseWriter, r *http.Request) {
	id, prefill := r.Header.Get("X-Request-Id"), r.Header.Get("X-Stage") == "prefill"
	w.Header().Set("X-Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.w.arrived(p, id, r.RequestURI, prefill)
	p.mu.Lock()
	engine, stage := p.stage != "", p.stage
	full := p.running >= p.slots()*5
	pause := p.retryAfter
	busy := time.Now().Before(p.busyUntil)
	if !full && !busy && pause == 0 {
		p.running++
	}
	p.mu.Unlock()
	if full || busy || pause > 0 {
		if pause > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 2, 64))
		}
		refuse(w)
		return
	}
	defer func() {
		p.mu.Lock()
		p.running--
		p.mu.Unlock()
	}()
	if p.w.crashPath != "" && r.URL.Path == p.w.crashPath {
		p.ran(id)
		p.crash()
		return
	}
	switch {
	case !engine:
		p.call(w, id, body)
	case prefill && stage != "prefill", !prefill && stage != "decode":
		w.Header().Set("X-Instance-Id", p.name)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case prefill:
		p.prefill(w, r)
	default:
		p.stream(w, r, id)
	}
}

func (p *replica) call(w http.ResponseWriter, id string, body []byte) {
	p.ran(id)
	time.Sleep(callTime)
	p.mu.Lock()
	lost, garbled := rand.Float64() < p.lostAnswers, rand.Float64() < p.garbledAnswers
	p.mu.Unlock()
	if garbled {
		p.garble(w, id)
		return
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Stamp", "stamp."+p.name+"."+id)
	w.WriteHeader(http.StatusOK)
	_, _ = fmt.Fprintf(w, "%s ran %s, %d bytes\n", p.name, id, len(body))
}

// ran notes that the replica has begun to work on a request.
func (p *replica) ran(id string) {
	p.mu.Lock()
	p.runs[id]++
	p.mu.Unlock()
}

// runsOf returns how often the replica has begun to work on a request.
func (p *replica) runsOf(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[id]
}

func promptTokens(r *http.Request) int {
	text, _, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	n, _ := strconv.Atoi(text)
	return n
}

func (p *replica) prefill(w http.ResponseWriter, r *http.Request) {
	time.Sleep(time.Duration(promptTokens(r)/tokensPerMilli) * time.Millisecond)
	p.mu.Lock()
	p.next++
	handle := fmt.Sprintf("k-%s-%d-%d", p.name, p.born, p.next)
	p.handles[handle] = time.Now().Add(handleTime)
	p.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"handle": handle, "tokens": promptTokens(r), "version": 1})
}

// allReplicas returns all replicas that were ever started.
func (w *world) allReplicas() []*replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.replicas)
}

// takeHandle takes the memory of a prompt that was read by the replica at an address.
func (w *world) takeHandle(source string) bool {
	address, handle, _ := strings.Cut(source, "/")
	for _, p := range w.allReplicas() {
		if p.address != address {
			continue
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		until, ok := p.handles[handle]
		delete(p.handles, handle)
		return ok && !p.gone && time.Now().Before(until)
	}
	return false
}

func (p *replica) stream(w http.ResponseWriter, r *http.Request, id string) {
	if source := r.Header.Get("X-Kv-Source"); source == "" {
		time.Sleep(time.Duration(2*promptTokens(r)/tokensPerMilli) * time.Millisecond)
	} else if !p.w.takeHandle(source) {
		refuse(w)
		return
	}
	p.free(r.Header.Get("X-Hold"))
	p.ran(id)
	w.Header().Set("X-Response-Stamp", "stamp."+p.name+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= streamEvents; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventTime):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		_ = http.NewResponseController(w).Flush()
	}
}
