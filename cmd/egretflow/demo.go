package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/assembler"
	"github.com/egretflow/egretflow/authenticator"
	"github.com/egretflow/egretflow/internal/stub/engine"
	"github.com/egretflow/egretflow/supervisor"
)

const (
	demoModel = "letter-writers"
	demoKey   = "demo-key"
	demoBody  = `{"model": "letter-writers", "stream": true, "max_tokens": 12,
"messages": [{"role": "user", "content": "Write a short letter to the depot."}]}`
)

type demoCommand struct{}

// Run starts two prefill engines, two decode engines and an entry instance, and
// prints the answer to one request.
func (*demoCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pool := egretflow.Pool{
		Name: "letters", Kind: egretflow.PoolKindModel, Model: demoModel, KVBytesPerToken: 64 << 10,
		TokenGap: egretflow.Duration(engine.DefaultTokenGap),
	}
	for n, role := range []egretflow.Role{egretflow.RolePrefill, egretflow.RolePrefill, egretflow.RoleDecode, egretflow.RoleDecode} {
		server, err := startEngine(ctx, fmt.Sprintf("%s-%d", strings.ToLower(string(role)), n%2+1), role)
		if err != nil {
			return err
		}
		pool.Servers = append(pool.Servers, server)
	}
	tables := &egretflow.Tables{Revision: 1, Pools: []egretflow.Pool{pool}, Routes: []egretflow.Route{{
		Name: "letters", Callers: []egretflow.CallerName{"demo"}, Models: []egretflow.ModelName{demoModel}, Pool: "letters",
		Importance: egretflow.ImportanceNormal, Idempotent: true, FirstTokenTarget: egretflow.Duration(1100 * time.Millisecond),
	}}}
	ln, err := listenLoopback()
	if err != nil {
		return err
	}
	inst, err := assembler.New(assembler.Config{
		Self:  egretflow.Member{Name: "entry-1", FailureDomain: "loopback", Region: "local"},
		Clock: egretflow.SystemClock, Rand: newRand(), Dial: (&net.Dialer{}).DialContext,
		Callers:        authenticator.StaticKeys(map[string]string{demoKey: "demo"}),
		CallerListener: ln, Tables: tables,
	})
	if err != nil {
		return fmt.Errorf("assemble instance: %w", err)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- supervisor.Run(ctx, inst.Tasks()) }()
	err = printAnswer(ctx, ln.Addr().String())
	cancel()
	if stopErr := <-stopped; err == nil {
		err = stopErr
	}
	return err
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func listenLoopback() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	return ln, nil
}

// startEngine runs a stand-in engine on loopback until ctx ends and returns its
// entry for the tables.
func startEngine(ctx context.Context, name string, role egretflow.Role) (egretflow.Server, error) {
	ln, err := listenLoopback()
	if err != nil {
		return egretflow.Server{}, err
	}
	address := ln.Addr().(*net.TCPAddr).AddrPort()
	eng := engine.New(engine.Config{
		Name: name, Role: role, Model: demoModel, Address: address, PrefillTokensPerSecond: 10_000,
		LinkBytesPerSecond: 1 << 30, KVBytesPerToken: 64 << 10,
	})
	server := &http.Server{Handler: eng, ConnContext: eng.Faults.ConnContext}
	go server.Serve(ln) //nolint:errcheck // it returns when the server is closed at the end of the demo
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return egretflow.Server{
		Name: egretflow.ServerName(name), Address: netip.AddrPortFrom(address.Addr().Unmap(), address.Port()),
		FailureDomain: "loopback", Role: role, Slots: engine.DefaultSlots, Blocks: engine.DefaultBlocks,
		PrefillTokensPerSecond: 10_000, LinkBytesPerSecond: 1 << 30,
	}, nil
}

// printAnswer sends the demo request and prints the events of the answer as they
// arrive.
func printAnswer(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(demoBody))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+demoKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	fmt.Println(resp.Status, "X-Request-Id:", resp.Header.Get("X-Request-Id"))
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		fmt.Println(lines.Text())
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	return nil
}
