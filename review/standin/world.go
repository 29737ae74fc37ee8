package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// world holds the stand-ins of a case: the store, the replicas and the platform that
// starts processes.
type world struct {
	started  time.Time
	dir      string // of the settings files
	store    *store
	storeAt  string
	replicas []*replica
	trouble  bool

	mu    sync.Mutex
	file  *os.File
	runs  map[string][]run
	nodes []*node
}

type run struct {
	replica *replica
	at      time.Time
}

func newWorld(record string, trouble bool) *world {
	file, err := os.Create(record)
	if err != nil {
		fatal(err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fatal(err)
	}
	w := &world{started: time.Now(), dir: dir, store: newStore(), trouble: trouble, file: file, runs: map[string][]run{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	w.storeAt = ln.Addr().String()
	go func() { _ = (&http.Server{Handler: w.store}).Serve(ln) }()
	return w
}

// fatal ends a case that couldn't run.
func fatal(err error) {
	fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
	os.Exit(2)
}

func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.file, "%9.3f "+format+"\n", append([]any{time.Since(w.started).Seconds()}, args...)...)
}

// ran notes that a replica runs a request.
func (w *world) ran(id string, r *replica) {
	w.record("run     request=%s replica=%s", id, r.id)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id] = append(w.runs[id], run{r, time.Now()})
}

func (w *world) runsOf(id string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs[id]...)
}

// work returns how long a call takes: 60 ms in the mean.
func (w *world) work(string) time.Duration {
	return time.Duration(30+rand.IntN(60)) * time.Millisecond
}

// node is a process of the system and its settings.
type node struct {
	w        *world
	name     string
	front    string
	ready    string
	settings string
	memoryMB int
	peerPort int

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	stopped bool
	starts  int
	onEnd   func()
}

func freePort() int {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port
}

// freePorts returns the first of four free ports in a row.
func freePorts() int {
	for {
		first := 20000 + rand.IntN(20000)
		ok := true
		for n := range 4 {
			ln, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(first+n))
			if err != nil {
				ok = false
				break
			}
			ln.Close()
			pc, err := net.ListenPacket("udp", "127.0.0.1:"+strconv.Itoa(first+n))
			if err != nil {
				ok = false
				break
			}
			pc.Close()
		}
		if ok {
			return first
		}
	}
}

// newNode returns a process that isn't started yet.
func (w *world) newNode(name string, memoryMB int) *node {
	n := &node{w: w, name: name, front: "127.0.0.1:" + strconv.Itoa(freePort()), ready: "127.0.0.1:" + strconv.Itoa(freePort())}
	n.memoryMB, n.peerPort = memoryMB, freePorts()
	n.writeSettings(true)
	w.nodes = append(w.nodes, n)
	return n
}

// writeSettings writes the settings as the platform makes them of deploy/settings.json.
func (n *node) writeSettings(bootstrap bool) {
	first := n.peerPort
	settings := map[string]any{
		"Name": n.name, "Region": "r", "FailureDomain": "z", "Listen": n.front, "ReadyListen": n.ready, "Address": "127.0.0.1",
		"PeerPorts": []int{first, first + 3}, "Store": n.w.storeAt, "GraceSeconds": 8, "MemoryMegabytes": n.memoryMB, "ProcessorShare": 0.4,
		"Bootstrap": bootstrap, "RetryRatio": 0.2, "RetrySlack": 56, "RetryWindowSeconds": 10, "LeaseMilliseconds": 3000,
	}
	data, _ := json.Marshal(settings)
	n.settings = filepath.Join(n.w.dir, n.name+".json")
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		fatal(err)
	}
}

// start starts the process with the command of the deploy file. One that ends is started
// again, as the platform does.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command("target/egretflow", "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.w.dir, "EGRETFLOW_CONFIG=" + n.settings}
	log, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fatal(err)
	}
	log.Close()
	n.starts++
	n.cmd, n.ended = cmd, make(chan struct{})
	n.w.record("start   node=%s pid=%d", n.name, cmd.Process.Pid)
	go func(ended chan struct{}) {
		err := cmd.Wait()
		n.w.record("ended   node=%s %v", n.name, err)
		close(ended)
		if n.onEnd != nil {
			n.onEnd()
		}
		time.Sleep(500 * time.Millisecond)
		n.mu.Lock()
		again := !n.stopped
		n.mu.Unlock()
		if again {
			n.writeSettings(false)
			n.start()
		}
	}(n.ended)
}

func (n *node) signal(s os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.w.record("signal  node=%s %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// stop kills the process for good.
func (n *node) stop() {
	n.mu.Lock()
	n.stopped = true
	cmd, ended := n.cmd, n.ended
	n.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-ended
	}
}

// isReady asks the process as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

func (n *node) awaitReady() {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if n.isReady() {
			n.w.record("ready   node=%s", n.name)
			return
		}
	}
	fatal(fmt.Errorf("%s doesn't get ready", n.name))
}

// end stops all processes.
func (w *world) end() {
	for _, n := range w.nodes {
		n.stop()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", w.dir)
	}
}

// configure writes a configuration with the routes of the sheet.
func (w *world) configure(version int) {
	route := func(name, prefix, kind, service string, timeout, target, attempts, priority int) map[string]any {
		r := map[string]any{"name": name, "host": "ficu95.example", "prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": target,
			"priority": priority, "service": service, "max_attempts": attempts, "sticky_sessions": false, "resumable": name == "r-fog"}
		if kind == "streaming" {
			r["sticky_sessions"], r["gap_aim_ms"] = true, 300
		}
		return r
	}
	w.store.Put("op/config", map[string]any{
		"version": version,
		"routes": []any{
			route("r-warranty", "/warranty/", "streaming", "assistant", 14000, 900, 1, 1),
			route("r-fog", "/fog/", "streaming", "assistant", 14000, 900, 2, 1),
			route("r-summary", "/summary/", "streaming", "assistant", 14000, 2000, 1, 1),
			route("r-order", "/order/", "unsafe", "desk", 4000, 300, 2, 2),
			route("r-stock", "/stock/", "safe", "desk", 4000, 300, 2, 2),
		},
		"services": []any{
			map[string]any{"name": "assistant", "health_path": "/health", "max_connections": 620, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": engineSlots, "kv_capacity": engineTokens, "kv_token_bytes": 35136, "link_mbps": 1100000.0, "moves": true, "backups": true, "stride": eventTokens,
				"most": 12, "handle_ttl_s": 0.5, "role_switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "desk", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}
