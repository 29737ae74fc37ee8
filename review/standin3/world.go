package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world holds everything that surrounds the instances under test, and the instances.
type world struct {
	started   time.Time
	dir       string
	store     *store
	storeAt   string
	replicas  []*replica
	instances []*instance
	traffic   context.Context
	stop      context.CancelFunc
	clients   sync.WaitGroup

	mu       sync.Mutex
	lines    []string
	arrivals []arrival
	sent     map[string]*attempt
	orders   []order
	config   map[string]any
	nextID   int
	// keepOpen makes clients leave their connections open after the answer.
	keepOpen bool
	// extraRoutes are added to those of the sheet.
	extraRoutes []map[string]any
	open        []net.Conn
	// crashPath is the path of the request that crashes replicas, if there is one.
	crashPath string
	crashes   []time.Time
}

// arrival is a request that has reached a replica.
type arrival struct {
	at      time.Time
	replica *replica
	id      string
	target  string
	prefill bool
}

// attempt is a request as its client saw it.
type attempt struct {
	id, kind   string
	instance   *instance
	sentAt     time.Time
	answeredAt time.Time
	status     int
	complete   bool
	stamp      string
	// text is the start of the body.
	text string
}

// instance is one process of the project.
type instance struct {
	w                 *world
	name, zone, ip    string
	listen, readiness string
	settings          string
	cmd               *exec.Cmd
	mu                sync.Mutex
	ready             bool
	misses            int
}

func newWorld() *world {
	dir, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		panic(err)
	}
	w := &world{started: time.Now(), dir: dir, store: newStore(), sent: map[string]*attempt{}}
	w.traffic, w.stop = context.WithCancel(context.Background())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("listen: %v", err)
	}
	w.storeAt = ln.Addr().String()
	go func() { _ = (&http.Server{Handler: w.store}).Serve(ln) }()
	return w
}

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, fmt.Sprintf("%7.3f %s", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...)))
}

// at returns a time in seconds since the start.
func (w *world) at(t time.Time) float64 { return t.Sub(w.started).Seconds() }

// noteRequests puts what was sent, answered and run in front of the record, one line for each
// request: when and to which instance it was sent, when and how it was answered, and when it
// reached which replicas. Those that the replica ran are marked.
func (w *world) noteRequests() {
	w.mu.Lock()
	defer w.mu.Unlock()
	reached := map[string]string{}
	for _, a := range w.arrivals {
		how := "reached"
		switch {
		case a.prefill:
			how = "prefill"
		case a.replica.runsOf(a.id) > 0:
			how = "ran"
		}
		reached[a.id] += fmt.Sprintf("; %s at %s %.3f", how, a.replica.name, w.at(a.at))
	}
	list := slices.SortedFunc(maps.Values(w.sent), func(a, b *attempt) int { return a.sentAt.Compare(b.sentAt) })
	var lines []string
	for _, a := range list {
		answer := "no answer"
		if a.status != 0 {
			answer = fmt.Sprintf("answered %d at %.3f, complete %v, stamp %q", a.status, w.at(a.answeredAt), a.complete, a.stamp)
		}
		lines = append(lines, fmt.Sprintf("%7.3f sent %s %s to %s; %s%s", w.at(a.sentAt), a.kind, a.id, a.instance.name, answer, reached[a.id]))
	}
	w.lines = append(lines, w.lines...)
}

// fail ends the run as one that could not be made.
func (w *world) fail(format string, args ...any) {
	w.note("could not run: "+format, args...)
	w.end(2)
}

// end stops all processes, writes the record and exits with the status.
func (w *world) end(status int) {
	w.stop()
	for _, i := range w.instances {
		i.kill()
	}
	w.noteRequests()
	w.mu.Lock()
	defer w.mu.Unlock()
	if path := os.Getenv("RECORD"); path != "" {
		_ = os.WriteFile(path, []byte(strings.Join(w.lines, "\n")+"\n"), 0o644)
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	}
	os.Exit(status)
}

// freePorts returns n ports that are free on all the given addresses, for TCP and UDP.
func freePorts(ips []string, n int) int {
	for range 200 {
		first := 20000 + rand.IntN(10000)
		if portsFree(ips, first, n) {
			return first
		}
	}
	return 0
}

func portsFree(ips []string, first, n int) bool {
	for _, ip := range ips {
		for port := first; port < first+n; port++ {
			at := net.JoinHostPort(ip, strconv.Itoa(port))
			ln, err := net.Listen("tcp", at)
			if err != nil {
				return false
			}
			_ = ln.Close()
			conn, err := net.ListenPacket("udp", at)
			if err != nil {
				return false
			}
			_ = conn.Close()
		}
	}
	return true
}

// startInstances starts one instance for each zone of the list, each with an address of its
// own, and waits until all say that they are ready.
func (w *world) startInstances(zones []string) {
	var ips []string
	for n := range zones {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", 11+n))
	}
	first := freePorts(ips, 20)
	if first == 0 {
		w.fail("no free ports")
	}
	for n, zone := range zones {
		i := &instance{w: w, name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, ip: ips[n]}
		i.listen, i.readiness = fmt.Sprintf("%s:%d", i.ip, first), fmt.Sprintf("%s:%d", i.ip, first+1)
		i.settings = filepath.Join(w.dir, i.name+".json")
		data, _ := json.Marshal(map[string]any{
			"Name": i.name, "Region": "tz-north", "FailureDomain": zone, "Listen": i.listen, "ReadyListen": i.readiness, "Address": i.ip,
			"PeerPorts": []int{first + 2, first + 17}, "Store": w.storeAt, "GraceSeconds": 8, "MemoryMegabytes": 284, "ProcessorShare": 0.4,
			"Bootstrap": true, "RetryRatio": 0.2, "RetrySlack": 52, "RetryWindowSeconds": 10, "LeaseMilliseconds": 3000,
		})
		if err := os.WriteFile(i.settings, data, 0o644); err != nil {
			w.fail("settings: %v", err)
		}
		w.instances = append(w.instances, i)
		i.start()
	}
	go w.probe()
	for range 200 {
		if w.allReady() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.fail("the instances are not ready")
}

func (w *world) allReady() bool {
	for _, i := range w.instances {
		if !i.isReady() {
			return false
		}
	}
	return true
}

func (i *instance) start() {
	log, err := os.OpenFile(filepath.Join(i.w.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		i.w.fail("log: %v", err)
	}
	defer log.Close()
	i.cmd = exec.Command("target/egretflow", "platform")
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "EGRETFLOW_CONFIG=" + i.settings}
	i.cmd.Stdout, i.cmd.Stderr = log, log
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.cmd.Start(); err != nil {
		i.w.fail("start %s: %v", i.name, err)
	}
	i.w.note("%s: started", i.name)
}

func (i *instance) kill() {
	if i.cmd == nil || i.cmd.Process == nil {
		return
	}
	_ = i.cmd.Process.Kill()
	_ = i.cmd.Wait()
}

// stop sends SIGTERM to the process of an instance, and SIGKILL after grace_s.
func (i *instance) stop() {
	_ = i.cmd.Process.Signal(syscall.SIGTERM)
	i.w.note("%s: gets SIGTERM", i.name)
	time.AfterFunc(graceTime, func() { _ = i.cmd.Process.Kill() })
}

// graceTime is grace_s of the sheet.
const graceTime = 8 * time.Second

// lose takes the power from the machine of an instance for the rest of the run.
func (i *instance) lose() {
	i.kill()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ready = false
}

func (i *instance) isReady() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ready
}

// probe asks each instance once a second whether it is ready. Two misses take it out.
func (w *world) probe() {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for wait := 100 * time.Millisecond; ; {
		for _, i := range w.instances {
			resp, err := client.Get("http://" + i.readiness + "/ready")
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			i.mu.Lock()
			if ok {
				i.ready, i.misses = true, 0
			} else if i.misses++; i.misses >= 2 {
				i.ready = false
			}
			i.mu.Unlock()
		}
		if w.allReady() {
			wait = time.Second
		}
		time.Sleep(wait)
	}
}

const host = "ficu95.example"

// routeOf returns a route as the operator writes it.
func routeOf(name, prefix, kind, service string, attempts, timeout, target int, resumable bool) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": target, "priority": 2,
		"service": service, "max_attempts": attempts,
	}
	if kind == "streaming" {
		r["sticky_sessions"], r["resumable"], r["gap_aim_ms"], r["priority"] = true, resumable, 300, 1
	}
	return r
}

// configure writes the first configuration, with the services and routes of kpp-egret.
func (w *world) configure() {
	w.config = map[string]any{
		"version": 7,
		"routes": append([]map[string]any{
			routeOf("order-letter", "/letter/", "streaming", "letter-writers", 1, 14000, 900, false),
			routeOf("fog-note", "/note/", "streaming", "letter-writers", 2, 14000, 900, true),
			routeOf("dispatch-charge", "/charge/", "unsafe", "order-desk", 1, 1500, 300, false),
			routeOf("order-lookup", "/lookup/", "safe", "order-desk", 2, 1500, 300, false),
		}, w.extraRoutes...),
		"services": []map[string]any{
			{"name": "letter-writers", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": engineSlots, "kv_capacity": kvTotal, "kv_token_bytes": 35136, "link_mbps": 1100000, "moves": true, "backups": true, "stride": 13,
				"most": 12, "handle_ttl_s": 0.5, "role_switch_s": 6, "pin_ms": 4000, "hold_ms": 2000, "models": []map[string]string{{"name": "m"}},
			}},
			{"name": "order-desk", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	w.writeConfig()
}

// writeConfig writes the configuration as the operator does.
func (w *world) writeConfig() bool {
	data, _ := json.Marshal(w.config)
	return w.store.put("op/config", data)
}

// kind is a kind of request, of which perSecond come in a second.
type kind struct {
	name, method, path string
	perSecond          float64
	stream             bool
}

// kinds are those of the sheet.
var kinds = []kind{
	{"order-letter", http.MethodPost, "/letter/a", 10.2, true},
	{"fog-note", http.MethodPost, "/note/a", 5.9, true},
	{"dispatch-charge", http.MethodPost, "/charge/a", 38.4, false},
	{"order-lookup", http.MethodGet, "/lookup/a", 15.3, false},
}

// startTraffic starts the clients. They send until the traffic is stopped.
func (w *world) startTraffic() { w.startClients(kinds...) }

// startClients starts the clients of the given kinds of request.
func (w *world) startClients(list ...kind) {
	for _, k := range list {
		w.clients.Add(1)
		go func() {
			defer w.clients.Done()
			var open sync.WaitGroup
			defer open.Wait()
			for {
				wait := time.Duration(rand.ExpFloat64() / k.perSecond * float64(time.Second))
				select {
				case <-w.traffic.Done():
					return
				case <-time.After(wait):
				}
				open.Add(1)
				go func() {
					defer open.Done()
					w.serveClient(k)
				}()
			}
		}()
	}
}

// serveClient sends one request and, after a promise that it has not run, a second attempt.
func (w *world) serveClient(k kind) {
	for range 2 {
		i := w.chooseInstance()
		if i == nil {
			return
		}
		a, wait := w.send(k, i)
		if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
			return
		}
		time.Sleep(wait)
	}
}

func (w *world) chooseInstance() *instance {
	var ready []*instance
	for _, i := range w.instances {
		if i.isReady() {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[rand.IntN(len(ready))]
}

// send sends one attempt on a connection of its own, reads the answer, and returns how long
// the client was told to wait.
func (w *world) send(k kind, i *instance) (*attempt, time.Duration) {
	w.mu.Lock()
	w.nextID++
	a := &attempt{id: fmt.Sprintf("%08x%08x", rand.Uint32(), w.nextID), kind: k.name, instance: i, sentAt: time.Now()}
	w.sent[a.id] = a
	w.mu.Unlock()
	body, head := "", ""
	deadline := 3000
	if k.stream {
		deadline = 14000
		head = fmt.Sprintf("X-Model: m\r\nX-Token-Counts: 3200,72\r\nX-Prompt-Prefix: %08x:200,%08x:3000\r\n", rand.IntN(2000), rand.Uint32())
	}
	if k.method == http.MethodPost {
		body = strings.Repeat("x", 600)
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	conn, err := net.DialTimeout("tcp", i.listen, time.Second)
	if err != nil {
		return a, 0
	}
	defer w.leaveConn(conn, a)
	_ = conn.SetDeadline(a.sentAt.Add(time.Duration(deadline) * time.Millisecond))
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n%s", k.method, k.path, host, a.id, deadline, head, body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: k.method})
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	a.answeredAt = time.Now()
	var wait float64
	if resp != nil {
		a.status = resp.StatusCode
		a.complete = err == nil
		a.stamp, a.text = resp.Header.Get("X-Response-Stamp"), string(text[:min(len(text), 80)])
		wait, _ = strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	}
	if k.stream && a.status == http.StatusOK && !strings.Contains(string(text), fmt.Sprintf("id: %d\n", streamEvents)) {
		a.complete = false
	}
	return a, time.Duration(wait * float64(time.Second))
}

// leaveConn closes the connection of a client, or leaves it open if the client has its answer
// and keeps its connections.
func (w *world) leaveConn(conn net.Conn, a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.keepOpen && a.complete {
		w.open = append(w.open, conn)
		return
	}
	_ = conn.Close()
}

// arrived notes a request that has reached a replica.
func (w *world) arrived(p *replica, id, target string, prefill bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, arrival{time.Now(), p, id, target, prefill})
}

// ordered notes an order that has reached a replica.
func (w *world) ordered(o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders = append(w.orders, o)
}

// endTraffic stops the clients and waits for their answers.
func (w *world) endTraffic() {
	w.stop()
	w.clients.Wait()
}

// summary notes how many requests of each kind were answered, and how.
func (w *world) summary() {
	w.mu.Lock()
	counts := map[string]map[string]int{}
	for _, a := range w.sent {
		if counts[a.kind] == nil {
			counts[a.kind] = map[string]int{}
		}
		how := strconv.Itoa(a.status)
		if a.status == 0 {
			how = "no answer"
		} else if !a.complete {
			how += " cut"
		}
		counts[a.kind][how]++
	}
	w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		w.note("answers to %s: %v", name, counts[name])
	}
}
