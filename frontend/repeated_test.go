package frontend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"

	"github.com/egretflow/egretflow"
)

// repeatingServer is a backend server that keeps its connections. On a kept connection
// it writes the first response once more before that to a later request, as a faulty
// server does.
type repeatingServer struct {
	// responses holds the responses to the requests, in order.
	responses []string
	requests  int
}

// replaceServers makes the server the only one of the role in a pool.
func (s *repeatingServer) replaceServers(env *testEnv, pool *egretflow.Pool, kind int, role egretflow.Role) {
	address := netip.AddrPortFrom(host(kind, 3), 8000)
	ln, err := env.net.Listen(address)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { _ = ln.Close() })
	servers := []egretflow.Server{{Name: "repeating", Address: address, FailureDomain: "moshi-lab", Role: role, Slots: 20, Blocks: 4000}}
	for _, other := range pool.Servers {
		if other.Role != role {
			servers = append(servers, other)
		}
	}
	pool.Servers = servers
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
}

func (s *repeatingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader, earlier := bufio.NewReader(conn), ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		response := rawResponse(http.StatusOK, "", "")
		if !strings.HasPrefix(req.URL.Path, "/abort") {
			response = s.responses[s.requests]
			s.requests++
		}
		if _, err := io.WriteString(conn, earlier+response); err != nil || req.Close {
			return
		}
		if earlier == "" {
			earlier = response
		}
	}
}

// rawResponse returns a response as a server sends it.
func rawResponse(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %s\r\n\r\n%s", status, header, strconv.Itoa(len(body)), body)
}

// TestRepeatedCallResponse guards against the repeated response to an earlier call that
// counts as the response to the next one: a call that ran is refused as not run, or a
// caller receives the answer to another one.
func TestRepeatedCallResponse(t *testing.T) {
	refusal, first := rawResponse(503, "Egretflow-Run-State: NotRun\r\n", ""), rawResponse(200, "", "first")
	for name, earlier := range map[string]string{"Refusal": refusal, "Answer": first} {
		for _, path := range []string{"/prices/", "/orders/"} {
			t.Run(name+path, func(t *testing.T) {
				run(t, func(env *testEnv) {
					s := &repeatingServer{responses: []string{earlier, rawResponse(200, "", "second")}}
					s.replaceServers(env, &env.tables.Pools[1], hostService, egretflow.RoleService)
					env.mustDo(request{path: path + "1", header: map[string]string{"Idempotency-Key": "k1"}})
					resp := env.mustDo(request{path: path + "2", header: map[string]string{"Idempotency-Key": "k2"}})
					if state := resp.Header.Get("Egretflow-Run-State"); string(resp.body) != "second" || state != "Ran" {
						env.t.Errorf("status %d, run state %s, body %q", resp.StatusCode, state, resp.body)
					}
				})
			})
		}
	}
}

// TestRepeatedPrefillRefusal guards against the repeated refusal of an earlier prefill
// that counts as the refusal of the next one, so that a caller learns that a request
// did not run although an engine ran it.
func TestRepeatedPrefillRefusal(t *testing.T) {
	run(t, func(env *testEnv) {
		s := &repeatingServer{responses: []string{rawResponse(503, "", `{"error":{"code":"engine_overloaded"}}`), rawResponse(500, "", "")}}
		s.replaceServers(env, &env.tables.Pools[0], hostPrefill, egretflow.RolePrefill)
		if state := env.mustDo(chat(3, true)).Header.Get("Egretflow-Run-State"); state != "NotRun" {
			env.t.Errorf("run state of the request that was refused is %s", state)
		}
		if state := env.mustDo(chat(3, true)).Header.Get("Egretflow-Run-State"); state != "MayHaveRun" {
			env.t.Errorf("run state of the request that an engine ran is %s", state)
		}
	})
}
