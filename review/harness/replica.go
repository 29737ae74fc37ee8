package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// beat is heartbeat_ms of the sheets.
	beat = 1200 * time.Millisecond
	// downFor is how long a replica that has crashed is away.
	downFor = 3 * time.Second
	// work is the time that a call of the application takes.
	work = 60 * time.Millisecond
)

// arrival is a request at a replica.
type arrival struct {
	at      time.Time
	id      string
	replica string
	crashed bool
}

// replica is a stand-in of an application replica. Each start is a new incarnation with a
// new id. A request whose path has poison in it crashes it.
type replica struct {
	store   *store
	rec     *record
	service string
	address string
	zone    string
	poison  string
	arrived func(arrival)

	mu       sync.Mutex
	starts   int
	id       string
	sequence int
	listener net.Listener
	conns    map[net.Conn]bool
	stopped  bool
}

// run starts the replica and keeps its registration until stop is called.
func (p *replica) run() error {
	if err := p.begin(); err != nil {
		return err
	}
	go func() {
		for range time.Tick(beat) {
			p.register()
		}
	}()
	return nil
}

func (p *replica) begin() error {
	ln, err := net.Listen("tcp", p.address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	p.mu.Lock()
	p.address = ln.Addr().String()
	p.starts++
	p.id = fmt.Sprintf("i-%s-%d", strings.NewReplacer(".", "", ":", "").Replace(p.address), p.starts)
	p.listener, p.conns = ln, map[net.Conn]bool{}
	p.mu.Unlock()
	p.rec.print("replica %s of %s starts at %s", p.id, p.service, p.address)
	p.register()
	go p.serve(ln)
	return nil
}

func (p *replica) register() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil || p.stopped {
		return
	}
	p.sequence++
	p.store.put("servers/"+p.id, map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "sequence": p.sequence, "born": time.Now().UnixMilli(),
	})
}

// crash ends the process of the replica: its connections are reset and its port is closed.
// Its entry is removed after three heartbeats of silence; it is back under another id.
func (p *replica) crash() {
	p.mu.Lock()
	ln, conns, id := p.listener, p.conns, p.id
	if ln == nil {
		p.mu.Unlock()
		return
	}
	p.listener, p.conns = nil, nil
	p.mu.Unlock()
	_ = ln.Close()
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	p.rec.print("replica %s crashes", id)
	time.AfterFunc(3*beat, func() { p.store.remove("servers/" + id) })
	time.AfterFunc(downFor, func() {
		p.mu.Lock()
		stopped := p.stopped
		p.mu.Unlock()
		if err := p.begin(); !stopped && err != nil {
			p.rec.print("replica at %s can't start: %v", p.address, err)
		}
	})
}

func (p *replica) serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		if p.conns == nil {
			p.mu.Unlock()
			_ = conn.Close()
			return
		}
		p.conns[conn] = true
		p.mu.Unlock()
		go p.serveConn(conn)
	}
}

func (p *replica) serveConn(conn net.Conn) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, conn)
		p.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		p.mu.Lock()
		id := p.id
		p.mu.Unlock()
		if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
			answer(conn, 421, "X-Instance-Id: "+id+"\r\n", "")
			continue
		}
		if req.URL.Path == "/health" {
			answer(conn, 200, "X-Instance-Id: "+id+"\r\n", "")
			continue
		}
		request := req.Header.Get("X-Request-Id")
		crashes := strings.Contains(req.URL.Path, p.poison)
		p.arrived(arrival{time.Now(), request, id, crashes})
		if crashes {
			p.crash()
			return
		}
		time.Sleep(work)
		answer(conn, 200, "X-Request-Id: "+request+"\r\nX-Response-Stamp: stamp-"+request+"\r\n", "served by "+id)
	}
}

func answer(conn net.Conn, status int, header, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}
