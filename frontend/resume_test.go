package frontend_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/egretflow/egretflow/frontend"
)

// readUntilFailure sends a request, calls fail after the given time, and returns
// the events that arrived.
func (env *testEnv) readUntilFailure(r request, after time.Duration, fail func()) []event {
	env.t.Helper()
	done := env.start(r)
	time.Sleep(after)
	fail()
	resp := <-done
	list := events(resp.body)
	if len(list) == 0 {
		env.t.Fatalf("no event before the failure: status %d", resp.StatusCode)
	}
	return list
}

// TestResumeOnOtherInstance guards against streams that cannot be resumed on
// another instance after theirs has failed (4.6, 10.2).
func TestResumeOnOtherInstance(t *testing.T) {
	for _, after := range []time.Duration{160 * time.Millisecond, midStream, 640 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			run(t, func(env *testEnv) {
				r := chat(30, true)
				part := env.readUntilFailure(r, after, func() { env.net.Cut(host(hostInstance, 1)) })
				time.Sleep(time.Second)
				r.instance = 2
				rest := env.mustDo(r.withHeader("Last-Event-ID", part[len(part)-1].id))
				if rest.StatusCode != http.StatusOK {
					env.t.Fatalf("status %d: %s", rest.StatusCode, rest.body)
				}
				if got := text(env.t, part) + text(env.t, events(rest.body)); got != wantText(30) {
					env.t.Errorf("both parts together are %q, want %q", got, wantText(30))
				}
				if list := events(rest.body); list[len(list)-1].data != "[DONE]" {
					env.t.Errorf("the second part does not end with [DONE]: %s", rest.body)
				}
				env.checkFreed()
			})
		})
	}
}

// TestResumeThenDecodeFails guards against a resumed stream that ends when its
// decode server fails: another server can continue it only if the new instance has
// the text from before the resume.
func TestResumeThenDecodeFails(t *testing.T) {
	run(t, func(env *testEnv) {
		r := chat(30, true)
		part := env.readUntilFailure(r, midStream, func() { env.net.Cut(host(hostInstance, 1)) })
		r.instance = 2
		done := env.start(r.withHeader("Last-Event-ID", part[len(part)-1].id))
		time.Sleep(50 * time.Millisecond)
		env.net.Cut(host(hostDecode, 1))
		if got := text(env.t, part) + text(env.t, events((<-done).body)); got != wantText(30) {
			env.t.Errorf("both parts together are %q, want %q", got, wantText(30))
		}
		env.checkFreed()
	})
}

// TestResumeTooLate guards against a resume that starts a new answer when the
// engine no longer has the old one.
func TestResumeTooLate(t *testing.T) {
	run(t, func(env *testEnv) {
		r := chat(300, true)
		part := env.readUntilFailure(r, midStream, func() { env.net.Cut(host(hostInstance, 1)) })
		time.Sleep(settleTime)
		r.instance = 2
		resp := env.mustDo(r.withHeader("Last-Event-ID", part[len(part)-1].id))
		if resp.StatusCode != http.StatusGone || resp.Header.Get("Egretflow-Run-State") != "Ran" {
			env.t.Errorf("status %d: %s", resp.StatusCode, resp.body)
		}
	})
}

// TestShutdown guards against open requests that are cut by a graceful shutdown,
// and against new requests that are accepted during it (10.1, I7).
func TestShutdown(t *testing.T) {
	run(t, func(env *testEnv) {
		short, long := chat(30, true), chat(200, true)
		shortDone, longDone, plainDone := env.start(short), env.start(long), env.start(chat(30, false))
		// The three requests are in progress when the shutdown starts.
		time.Sleep(midStream)
		stopped := make(chan time.Duration, 1)
		started := time.Now()
		go func() {
			env.instances[0].stop()
			stopped <- time.Since(started)
		}()
		time.Sleep(10 * time.Millisecond)
		if env.instances[0].frontend.Ready() {
			env.t.Error("the instance is ready during its shutdown")
		}
		rejected := env.mustDo(chat(10, true))
		if rejected.StatusCode != http.StatusServiceUnavailable || rejected.Header.Get("Egretflow-Run-State") != "NotRun" || rejected.Header.Get("Retry-After") == "" {
			env.t.Errorf("a new request got status %d: %s", rejected.StatusCode, rejected.body)
		}
		env.checkComplete(<-shortDone, 30)
		if resp := <-plainDone; resp.StatusCode != http.StatusOK {
			env.t.Errorf("plain answer has status %d", resp.StatusCode)
		}
		first := <-longDone
		if first.truncated {
			env.t.Error("the handed-over connection was cut")
		}
		part := events(first.body)
		long.instance = 2
		rest := env.mustDo(long.withHeader("Last-Event-ID", part[len(part)-1].id))
		if got := text(env.t, part) + text(env.t, events(rest.body)); got != wantText(200) {
			env.t.Errorf("both parts together are %q, want %q", got, wantText(200))
		}
		if took := <-stopped; took > 4*time.Second {
			env.t.Errorf("shutdown took %v", took)
		}
		env.checkFreed()
	}, frontend.Limits{DrainTimeout: 2 * time.Second})
}

// TestSlowReader guards against a slot that stays in use because the caller has
// stopped reading.
func TestSlowReader(t *testing.T) {
	run(t, func(env *testEnv) {
		c := env.dial(1)
		defer c.Close()
		body := chat(3000, true).body
		send(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-v\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		time.Sleep(midStream)
		if s := env.engines["decode-1"].Stats(); s.SlotsInUse != 1 {
			env.t.Fatalf("%d slots in use, want 1", s.SlotsInUse)
		}
		// The buffers of the connection hold about 300 events: the write blocks
		// after 6 s of the answer.
		time.Sleep(10 * time.Second)
		env.checkFreed()
	}, frontend.Limits{WriteTimeout: time.Second})
}

// TestPausedReader guards against a resume of the engine's stream because the
// caller has paused reading, which must not count as a stall of the engine.
func TestPausedReader(t *testing.T) {
	run(t, func(env *testEnv) {
		c := env.dial(1)
		defer c.Close()
		body := chat(600, true).body
		send(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-v\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		time.Sleep(10 * time.Second)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			env.t.Fatal(err)
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			env.t.Fatal(err)
		}
		env.checkComplete(&response{Response: resp, body: data}, 600)
		if resumes := env.engines["decode-1"].Stats().Resumes; resumes != 0 {
			env.t.Errorf("the stream was resumed %d times", resumes)
		}
	})
}
