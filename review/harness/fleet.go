package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// contact is contact_ms of the sheets in SYSTEM.md.
const contact = 3 * time.Second

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) print(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// started holds the processes that run, so that none outlives the harness.
var started sync.Map

// endAll ends all processes that were started.
func endAll() {
	started.Range(func(key, _ any) bool {
		_ = key.(*exec.Cmd).Process.Kill()
		return true
	})
}

// instance is one process of the system, started with the command of the deploy file.
type instance struct {
	name, ip string
	rec      *record
	front    string
	ready    string
	config   string
	program  string
	logs     *os.File

	mu        sync.Mutex
	cmd       *exec.Cmd
	startedAt time.Time
}

// ports are the same on all machines, as in DEPLOY.md.
type ports struct{ front, ready, peers int }

// freePorts finds ports that are free on all the given addresses.
func freePorts(ips []string) (ports, error) {
	for base := 21000 + os.Getpid()%4000; base < 60000; base += 37 {
		free := true
		for _, ip := range ips {
			for p := base; p < base+8 && free; p++ {
				free = isFree(ip, p)
			}
		}
		if free {
			return ports{front: base, ready: base + 1, peers: base + 3}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

func isFree(ip string, port int) bool {
	address := fmt.Sprintf("%s:%d", ip, port)
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = ln.Close()
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// newInstance writes the settings that the template of the deploy file makes of those of a
// small deployment (kpp-egret).
func newInstance(rec *record, dir, root, name, ip, zone, storeAddress string, p ports, bootstrap bool) (*instance, error) {
	settings := map[string]any{
		"Name": name, "Region": "tz-north", "FailureDomain": zone,
		"Listen": fmt.Sprintf("%s:%d", ip, p.front), "ReadyListen": fmt.Sprintf("%s:%d", ip, p.ready),
		"Address": ip, "PeerPorts": []int{p.peers, p.peers + 4}, "Store": storeAddress,
		"GraceSeconds": 8, "MemoryMegabytes": 284, "ProcessorShare": 0.4, "Bootstrap": bootstrap,
		"RetryRatio": 0.2, "RetrySlack": 52, "RetryWindowSeconds": 10, "LeaseMilliseconds": 3000,
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	x := &instance{
		name: name, ip: ip, rec: rec, front: fmt.Sprintf("%s:%d", ip, p.front), ready: fmt.Sprintf("http://%s:%d/ready", ip, p.ready),
		config: filepath.Join(dir, name+".json"), program: filepath.Join(root, "target", "egretflow"),
	}
	if err := os.WriteFile(x.config, data, 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	if x.logs, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	return x, nil
}

func (x *instance) start() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	cmd := exec.Command(x.program, "platform")
	cmd.Env = append(os.Environ(), "EGRETFLOW_CONFIG="+x.config)
	cmd.Stdout, cmd.Stderr = x.logs, x.logs
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", x.name, err)
	}
	started.Store(cmd, nil)
	x.cmd, x.startedAt = cmd, time.Now()
	x.rec.print("%s starts, process %d", x.name, cmd.Process.Pid)
	return nil
}

// kill ends the process with SIGKILL, if it runs.
func (x *instance) kill() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil {
		return
	}
	_ = x.cmd.Process.Kill()
	_ = x.cmd.Wait()
	started.Delete(x.cmd)
	x.cmd = nil
	x.rec.print("%s is killed", x.name)
}

// upFor returns how long the process has run; 0 if it does not.
func (x *instance) upFor(now time.Time) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil {
		return 0
	}
	return now.Sub(x.startedAt)
}

// awaitReady waits until the instance says that it is ready.
func (x *instance) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(x.ready)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			x.rec.print("%s is ready", x.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", x.name)
}
