package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// prefillTime, eventGap and events describe the work of an engine on one request.
	prefillTime = 40 * time.Millisecond
	eventGap    = 40 * time.Millisecond
	events      = 6
	// roleSwitch is role_switch_s.
	roleSwitch = 6 * time.Second
)

// engine is a stand-in of a model replica of the stage prefill or decode. It speaks the
// calls of PROTOCOL.md that a router needs: prompts, streams, holds, handles and reports.
type engine struct {
	store   *store
	rec     *record
	service string
	stage   string
	zone    string
	address string
	// poison is the part of a prompt that crashes a decode replica which begins to write
	// an answer on it. eventsBefore is the number of events that it has written by then.
	poison       string
	eventsBefore int
	ran          func(run)

	mu       sync.Mutex
	starts   int
	id       string
	sequence int
	running  map[string]int
	handles  int
	// accepted and fence are what the replica keeps of orders; busyUntil is when the
	// newest one is complete.
	accepted  int
	fence     int64
	busyUntil time.Time
	listener  net.Listener
	conns     map[net.Conn]bool
}

// run is a stream that a replica begins to write.
type run struct {
	at      time.Time
	id      string
	replica string
	prefix  string
	crashes bool
}

func (e *engine) run() error {
	if err := e.begin(); err != nil {
		return err
	}
	go func() {
		for range time.Tick(beat) {
			e.register()
		}
	}()
	return nil
}

func (e *engine) begin() error {
	ln, err := net.Listen("tcp", e.address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	e.mu.Lock()
	e.address = ln.Addr().String()
	e.starts++
	e.id = fmt.Sprintf("i-%s-%d", strings.NewReplacer(".", "", ":", "").Replace(e.address), e.starts)
	e.listener, e.conns, e.running = ln, map[net.Conn]bool{}, map[string]int{}
	e.accepted, e.fence, e.busyUntil = 0, 0, time.Time{}
	e.mu.Unlock()
	e.rec.print("%s replica %s starts at %s", e.stage, e.id, e.address)
	e.register()
	go e.serve(ln)
	return nil
}

func (e *engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener == nil {
		return
	}
	e.sequence++
	e.store.put("servers/"+e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
		"stage": e.stage, "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": e.sequence,
		"born": time.Now().UnixMilli(),
	})
}

// crash ends the process of the replica, as in replica.crash.
func (e *engine) crash() {
	e.mu.Lock()
	ln, conns, id := e.listener, e.conns, e.id
	if ln == nil {
		e.mu.Unlock()
		return
	}
	e.listener, e.conns = nil, nil
	e.mu.Unlock()
	_ = ln.Close()
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	e.rec.print("%s replica %s crashes", e.stage, id)
	time.AfterFunc(3*beat, func() { e.store.remove("servers/" + id) })
	time.AfterFunc(downFor, func() {
		if err := e.begin(); err != nil {
			e.rec.print("replica at %s can't start: %v", e.address, err)
		}
	})
}

func (e *engine) serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.conns == nil {
			e.mu.Unlock()
			_ = conn.Close()
			return
		}
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serveConn(conn)
	}
}

func (e *engine) serveConn(conn net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		if !e.handle(conn, req, body) {
			return
		}
	}
}

// handle answers one request and reports whether the connection stays open.
func (e *engine) handle(conn net.Conn, req *http.Request, body []byte) bool {
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		answer(conn, 421, "X-Instance-Id: "+id+"\r\n", "")
		return true
	}
	path, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	const asJSON = "Content-Type: application/json\r\n"
	switch path {
	case "health":
		answer(conn, 200, "X-Instance-Id: "+id+"\r\n", "")
	case "report":
		answer(conn, 200, asJSON, e.report())
	case "hold-take":
		e.mu.Lock()
		e.handles++
		hold := fmt.Sprintf(`{"hold":"h%d"}`, e.handles)
		e.mu.Unlock()
		answer(conn, 200, asJSON, hold)
	case "hold-drop", "kv-handle", "kv-pin":
		answer(conn, 200, "", "")
	case "order":
		answer(conn, e.order(body), asJSON, "{}")
	default:
		return e.work(conn, req, id)
	}
	return true
}

// order carries out an order to change the stage, and returns the status of the answer.
func (e *engine) order(body []byte) int {
	var o struct {
		Operation, Stage, Holder string
		Fence                    int64 `json:"fencing_token"`
		Expected                 *int
	}
	if json.Unmarshal(body, &o) != nil || o.Operation != "stage" || o.Holder == "" || o.Fence == 0 {
		return 400
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rec.print("order to replica %s: %s", e.id, body)
	switch {
	case o.Fence < e.fence:
		return 412
	case time.Now().Before(e.busyUntil) || o.Expected != nil && *o.Expected != e.accepted:
		return 409
	case o.Stage == e.stage:
		return 200
	}
	e.fence, e.busyUntil = o.Fence, time.Now().Add(roleSwitch)
	e.accepted++
	id := e.id
	time.AfterFunc(roleSwitch, func() {
		e.mu.Lock()
		if e.id == id {
			e.stage = o.Stage
		}
		e.mu.Unlock()
		e.register()
	})
	return 202
}

func (e *engine) report() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := [][4]any{}
	for id, made := range e.running {
		runs = append(runs, [4]any{id, 1000, made, 5})
	}
	data, _ := json.Marshal(map[string]any{
		"stage": e.stage, "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": time.Now().Before(e.busyUntil), "sequence": e.accepted,
		"waiting": 0, "running": len(runs), "kv_used": 1000 * len(runs), "kv_total": 34221, "handles": 0, "state": "ready", "runs": runs,
	})
	return string(data)
}

// work reads a prompt or writes a stream.
func (e *engine) work(conn net.Conn, req *http.Request, id string) bool {
	request, prefix := req.Header.Get("X-Request-Id"), req.Header.Get("X-Prompt-Prefix")
	head := "X-Request-Id: " + request + "\r\n"
	e.mu.Lock()
	stage, busy := e.stage, time.Now().Before(e.busyUntil)
	e.mu.Unlock()
	prefill := req.Header.Get("X-Stage") == "prefill"
	switch {
	case busy:
		answer(conn, 503, head+"X-Not-Executed: 1\r\n", "")
		return true
	case prefill != (stage == "prefill"):
		answer(conn, 421, "X-Instance-Id: "+id+"\r\n", "")
		return true
	}
	if prefill {
		time.Sleep(prefillTime)
		e.mu.Lock()
		e.handles++
		handle := fmt.Sprintf(`{"handle":"%s%x","tokens":1000,"version":1}`, strings.TrimPrefix(id, "i-"), e.handles)
		e.mu.Unlock()
		answer(conn, 200, head+"Content-Type: application/json\r\n", handle)
		return true
	}
	crashes := strings.Contains(prefix, e.poison)
	e.ran(run{time.Now(), request, id, prefix, crashes})
	e.mu.Lock()
	if e.running != nil {
		e.running[request] = 0
	}
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.running, request)
		e.mu.Unlock()
	}()
	time.Sleep(eventGap)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sX-Response-Stamp: stamp-%s\r\nContent-Type: text/event-stream\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n", head, request)
	for n := 1; n <= events; n++ {
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 60))
		if crashes && n > e.eventsBefore {
			fmt.Fprintf(conn, "%x\r\n%s\r\n", 10, text[:10])
			time.Sleep(eventGap)
			e.crash()
			return false
		}
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		e.mu.Lock()
		if e.running != nil {
			e.running[request] = n
		}
		e.mu.Unlock()
		time.Sleep(eventGap)
	}
	_, err := fmt.Fprint(conn, "0\r\n\r\n")
	return err == nil
}
