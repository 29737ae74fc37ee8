package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// scriptedServer is a backend server that performs the actions of a script.
type scriptedServer struct {
	name, stage string
	mu          sync.Mutex
	actions     [][]string
	runs        int
	// preempts makes the server pause its stream after the first event.
	preempts bool
	// pause is how long the server sends nothing after each event but the last. With
	// pausesForCheck it sends nothing until its progress has been asked for, which
	// checked receives.
	// reports is what it reports of its progress: Ahead means that it has generated
	// all events, Nothing that it knows no request. Otherwise it does not respond.
	pause          time.Duration
	pausesForCheck bool
	checked        chan struct{}
	reports        string
	freed          int
	// flooded counts the bytes that the last endless action could send. floods counts
	// the endless actions that have not ended.
	flooded     int
	floods      sync.WaitGroup
	dropped     int
	address     netip.AddrPort
	listener    net.Listener
	resumeAfter []string
	// closed receives the time at which the client closed a connection of a silent or
	// hanging action.
	closed chan time.Time
}

func (v *scriptedServer) listen(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	v.address = netip.MustParseAddrPort(ln.Addr().String())
	if len(v.actions) > 0 && v.actions[0][0] == "refuse" {
		_ = ln.Close()
		return
	}
	t.Cleanup(func() { _ = ln.Close() })
	v.listener = ln
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go v.serve(conn)
		}
	}()
}

func (v *scriptedServer) next() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.actions) == 0 {
		return []string{"unexpected"}
	}
	action := v.actions[0]
	v.actions = v.actions[1:]
	return action
}

func (v *scriptedServer) runCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.runs
}

// floodedBytes waits until the endless actions have ended, which they do after
// floodTime at the latest, and returns how much the last one could send.
func (v *scriptedServer) floodedBytes() int {
	v.floods.Wait()
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.flooded
}

// resumePoints returns, for each received request, the id of the event after which
// the server was asked to continue.
func (v *scriptedServer) resumePoints() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.resumeAfter...)
}

func (v *scriptedServer) countRun() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.runs++
}

func (v *scriptedServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	v.greet(conn)
	reader := bufio.NewReader(conn)
	req, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	action := v.next()
	argument := func(n int) string {
		if n < len(action) {
			return action[n]
		}
		return ""
	}
	if action[0] != "early" {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	v.mu.Lock()
	v.resumeAfter = append(v.resumeAfter, req.Header.Get("After"))
	v.mu.Unlock()
	head := func(status int, extra string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nRequest: r1\r\nStamp: %s\r\n%s", status, v.name, extra)
	}
	respond := func(status int, body string) {
		_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head(status, ""), len(body), body)
	}
	reset := func() {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	switch action[0] {
	case "ok":
		v.countRun()
		respond(200, argument(1))
	case "late":
		ms, _ := strconv.Atoi(argument(1))
		time.Sleep(time.Duration(ms) * time.Millisecond)
		v.countRun()
		respond(200, argument(2))
	case "status":
		v.countRun()
		status, _ := strconv.Atoi(argument(1))
		respond(status, argument(2))
	case "leaving":
		v.countRun()
		_, _ = fmt.Fprintf(conn, "%sLeaving: 1\r\nContent-Length: %d\r\n\r\n%s", head(500, ""), len(argument(1)), argument(1))
	case "busy":
		_, _ = fmt.Fprintf(conn, "%sNot-Run: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n", head(503, ""), argument(1))
	case "notrun":
		_, _ = fmt.Fprintf(conn, "%sNot-Run: 1\r\nContent-Length: 0\r\n\r\n", head(503, ""))
	case "reset", "latereset":
		ms, _ := strconv.Atoi(argument(1))
		time.Sleep(time.Duration(ms) * time.Millisecond)
		v.countRun()
		reset()
	case "truncate":
		v.countRun()
		_, _ = fmt.Fprintf(conn, "%sContent-Length: 100\r\n\r\npart", head(200, ""))
	case "unframed":
		v.countRun()
		_, _ = fmt.Fprintf(conn, "%sConnection: close\r\n\r\n%s", head(200, ""), argument(1))
	case "unframedreset":
		v.countRun()
		_, _ = fmt.Fprintf(conn, "%sConnection: close\r\n\r\npart", head(200, ""))
		time.Sleep(50 * time.Millisecond)
		reset()
	case "foreign":
		v.countRun()
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 X\r\nRequest: r2\r\nStamp: s\r\nContent-Length: 5\r\n\r\nother")
	case "raw":
		v.countRun()
		for part := range strings.SplitSeq(decodeBody(argument(1)), "%") {
			if part == "SLEEP" {
				time.Sleep(1500 * time.Millisecond)
				continue
			}
			_, _ = io.WriteString(conn, part)
			time.Sleep(10 * time.Millisecond)
		}
		if argument(2) == "reset" {
			time.Sleep(50 * time.Millisecond)
			reset()
		}
	case "sends":
		v.countRun()
		_, _ = io.WriteString(conn, answers[argument(1)])
	case "greets":
		v.countRun()
	case "garbage":
		v.countRun()
		_, _ = fmt.Fprint(conn, "\x16\x03\x01 no answer\r\n\r\n")
	case "early":
		respond(413, argument(1))
		time.Sleep(100 * time.Millisecond)
	case "silent":
		v.countRun()
		v.awaitClose(conn)
	case "dribbles":
		v.countRun()
		v.dribble(conn, head)
	case "endless":
		v.floods.Add(1)
		defer v.floods.Done()
		v.countRun()
		v.flood(conn, argument(1))
	case "crash":
		v.countRun()
		_, _ = fmt.Fprint(conn, head(200, "Transfer-Encoding: chunked\r\n"), "\r\n")
		v.stopListening()
		reset()
	case "exit":
		v.countRun()
		_, _ = io.WriteString(conn, decodeBody(argument(1)))
		v.stopListening()
		reset()
	case "prefill":
		_, _ = fmt.Fprintf(conn, "%sContent-Length: 2\r\n\r\nk1", head(200, ""))
	case "sized":
		v.countRun()
		_, _ = fmt.Fprint(conn, head(200, "Content-Length: 40\r\n"), "\r\nid: 1\ndata: e1\n\nid: 2\ndata: e2\n\n")
	case "events":
		v.countRun()
		v.stream(conn, head, argument(1), argument(2))
		if argument(2) == "crash" {
			v.stopListening()
		}
		if argument(2) == "reset" || argument(2) == "crash" {
			reset()
		}
	default:
		respond(599, strings.Join(action, " "))
	}
}

// answers holds what the actions sends and greets write: responses with a refusal that
// is not the response to the request.
var answers = map[string]string{
	"anonymous": refusalHead + "Content-Length: 0\r\n\r\n",
	"foreign":   refusalHead + "Request: r2\r\nContent-Length: 0\r\n\r\n",
	"interim":   "HTTP/1.1 103 X\r\nRequest: r1\r\nNot-Run: 1\r\n\r\n" + refusalHead + "Content-Length: 0\r\n\r\n",
	"surplus":   "HTTP/1.1 200 X\r\nRequest: r1\r\nStamp: s\r\nContent-Length: 4\r\n\r\ngood" + refusalHead + "Request: r1\r\nContent-Length: 0\r\n\r\n",
	"trailer":   "HTTP/1.1 200 X\r\nRequest: r1\r\nStamp: s\r\nTrailer: Not-Run\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nNot-Run: 1\r\n\r\n",
}

const refusalHead = "HTTP/1.1 503 X\r\nNot-Run: 1\r\n"

// greet sends the response of the next action before the request is read, if that
// action is greets.
func (v *scriptedServer) greet(conn net.Conn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.actions) > 0 && v.actions[0][0] == "greets" {
		_, _ = io.WriteString(conn, answers[v.actions[0][1]])
	}
}

// stream sends the events of span, such as "1-3", as a chunked response. It sends
// the final chunk only if end is empty; otherwise end says how the stream breaks.
func (v *scriptedServer) stream(conn net.Conn, head func(int, string) string, span, end string) {
	first, last, _ := strings.Cut(span, "-")
	from, _ := strconv.Atoi(first)
	to, _ := strconv.Atoi(last)
	_, _ = fmt.Fprint(conn, head(200, "Transfer-Encoding: chunked\r\n"), "\r\n")
	for n := from; n <= to; n++ {
		event := fmt.Sprintf("id: %d\ndata: e%d\n\n", n, n)
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		if v.preempts && n == from {
			time.Sleep(1200 * time.Millisecond)
		}
		if n < to {
			time.Sleep(v.pause)
			v.awaitCheck()
		}
	}
	if end == "cut" {
		part := "id: 99\nda"
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
		time.Sleep(50 * time.Millisecond)
	}
	if end == "" {
		_, _ = fmt.Fprint(conn, "0\r\n\r\n")
	}
	switch end {
	case "reset":
		time.Sleep(50 * time.Millisecond)
	case "hang":
		v.awaitClose(conn)
	}
}

// stopListening refuses new connections, as if the process had ended. What was written
// before reaches the client first.
func (v *scriptedServer) stopListening() {
	time.Sleep(20 * time.Millisecond)
	_ = v.listener.Close()
}

// awaitCheck waits until the progress of the server has been asked for, if it pauses
// for that.
func (v *scriptedServer) awaitCheck() {
	if !v.pausesForCheck {
		return
	}
	select {
	case <-v.checked:
	case <-time.After(5 * time.Second):
	}
}

// dribble sends one event and then a comment now and then until the client closes the
// connection.
func (v *scriptedServer) dribble(conn net.Conn, head func(int, string) string) {
	_, _ = fmt.Fprint(conn, head(200, "Connection: close\r\n"), "\r\nid: 1\ndata: e1\n\n")
	for range 100 {
		time.Sleep(50 * time.Millisecond)
		if _, err := io.WriteString(conn, ":\n\n"); err != nil {
			return
		}
	}
}

// floods holds what an endless action sends first, and then without end until the
// client closes the connection.
var floods = map[string]struct{ first, again string }{
	"status":     {"HTTP/1.1 200 ", "x"},
	"header":     {"HTTP/1.1 200 X\r\nRequest: ", "r"},
	"headers":    {"HTTP/1.1 200 X\r\nRequest: r1\r\n", "A: b\r\n"},
	"interim":    {"", "HTTP/1.1 103 X\r\nA: b\r\n\r\n"},
	"body":       {"HTTP/1.1 200 X\r\nRequest: r1\r\nStamp: s\r\nConnection: close\r\n\r\n", "b"},
	"chunks":     {"HTTP/1.1 200 X\r\nRequest: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nxxxxx\r\n"},
	"extensions": {"HTTP/1.1 200 X\r\nRequest: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"trailers":   {"HTTP/1.1 200 X\r\nRequest: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	"surplus":    {"HTTP/1.1 200 X\r\nRequest: r1\r\nStamp: s\r\nContent-Length: 4\r\n\r\ngood", "b"},
	"line":       {"HTTP/1.1 200 X\r\nRequest: r1\r\nStamp: s\r\nConnection: close\r\n\r\nid: 1\ndata: e1\n\ndata: ", "x"},
	"lines":      {"HTTP/1.1 200 X\r\nRequest: r1\r\nStamp: s\r\nConnection: close\r\n\r\nid: 1\ndata: e1\n\n", "a\n"},
}

const (
	// floodBlock is the size of one write, and floodLimit bounds the bytes that the
	// client may take, including what the buffers of the system hold.
	floodBlock = 16 << 10
	floodLimit = 16 << 20
	// floodTime ends a flood that the client does not end.
	floodTime = 3 * time.Second
)

// flood sends bytes until the client closes the connection.
func (v *scriptedServer) flood(conn net.Conn, kind string) {
	f := floods[kind]
	_, _ = io.WriteString(conn, f.first)
	block := []byte(strings.Repeat(f.again, floodBlock/len(f.again)))
	_ = conn.SetWriteDeadline(time.Now().Add(floodTime))
	sent := 0
	for {
		n, err := conn.Write(block)
		sent += n
		if err != nil {
			break
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.flooded = sent
}

// awaitClose waits until the client closes the connection.
func (v *scriptedServer) awaitClose(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.Copy(io.Discard, conn)
	select {
	case v.closed <- time.Now():
	default:
	}
}

// closedAfter returns the time from at until the client closed its connection, or an
// hour if it did not.
func (v *scriptedServer) closedAfter(at time.Time) time.Duration {
	select {
	case closedAt := <-v.closed:
		return closedAt.Sub(at)
	case <-time.After(5 * time.Second):
		return time.Hour
	}
}
