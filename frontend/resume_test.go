package frontend_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/egretflow/egretflow/frontend"
)

// readPart reads an answer until after, and then lets fail break it.
func (w *world) readPart(r request, after time.Duration, fail func()) []event {
	w.t.Helper()
	done := w.start(r)
	time.Sleep(after)
	fail()
	resp := <-done
	list := events(resp.body)
	if len(list) == 0 {
		w.t.Fatalf("no event before the failure: status %d", resp.StatusCode)
	}
	return list
}

// TestResumeElsewhere guards against answers that are lost with their entry
// instance (4.6, 10.2).
func TestResumeElsewhere(t *testing.T) {
	for _, after := range []time.Duration{160 * time.Millisecond, midStream, 640 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			run(t, func(w *world) {
				r := chat(30, true)
				part := w.readPart(r, after, func() { w.net.Cut(host(hostInstance, 1)) })
				time.Sleep(time.Second)
				r.instance = 2
				rest := w.must(r.with("Last-Event-ID", part[len(part)-1].id))
				if rest.StatusCode != http.StatusOK {
					w.t.Fatalf("status %d: %s", rest.StatusCode, rest.body)
				}
				if got := text(w.t, part) + text(w.t, events(rest.body)); got != wantText(30) {
					w.t.Errorf("both parts together are %q, want %q", got, wantText(30))
				}
				if list := events(rest.body); list[len(list)-1].data != "[DONE]" {
					w.t.Errorf("the second part does not end with [DONE]: %s", rest.body)
				}
				w.checkFreed()
			})
		})
	}
}

// TestResumeThenDecodeFails guards against a resumed answer that cannot
// continue on another server, because the text before is unknown.
func TestResumeThenDecodeFails(t *testing.T) {
	run(t, func(w *world) {
		r := chat(30, true)
		part := w.readPart(r, midStream, func() { w.net.Cut(host(hostInstance, 1)) })
		r.instance = 2
		done := w.start(r.with("Last-Event-ID", part[len(part)-1].id))
		time.Sleep(50 * time.Millisecond)
		w.net.Cut(host(hostDecode, 1))
		if got := text(w.t, part) + text(w.t, events((<-done).body)); got != wantText(30) {
			w.t.Errorf("both parts together are %q, want %q", got, wantText(30))
		}
		w.checkFreed()
	})
}

// TestResumeTooLate guards against a new answer in the place of one that the
// engine has dropped.
func TestResumeTooLate(t *testing.T) {
	run(t, func(w *world) {
		r := chat(300, true)
		part := w.readPart(r, midStream, func() { w.net.Cut(host(hostInstance, 1)) })
		time.Sleep(settled)
		r.instance = 2
		resp := w.must(r.with("Last-Event-ID", part[len(part)-1].id))
		if resp.StatusCode != http.StatusGone || resp.Header.Get("Egretflow-Run-State") != "Ran" {
			w.t.Errorf("status %d: %s", resp.StatusCode, resp.body)
		}
	})
}

// TestShutdown guards against requests that a graceful shutdown cuts, and
// against new work during it (10.1, I7).
func TestShutdown(t *testing.T) {
	run(t, func(w *world) {
		short, long := chat(30, true), chat(200, true)
		shortDone, longDone, plainDone := w.start(short), w.start(long), w.start(chat(30, false))
		// This connection is open before the listener closes.
		time.Sleep(midStream)
		stopped := make(chan time.Duration, 1)
		started := time.Now()
		go func() {
			w.instances[0].stop()
			stopped <- time.Since(started)
		}()
		time.Sleep(10 * time.Millisecond)
		if w.instances[0].frontend.Ready() {
			w.t.Error("the instance is ready during its shutdown")
		}
		rejected := w.must(chat(10, true))
		if rejected.StatusCode != http.StatusServiceUnavailable || rejected.Header.Get("Egretflow-Run-State") != "NotRun" || rejected.Header.Get("Retry-After") == "" {
			w.t.Errorf("new work got status %d: %s", rejected.StatusCode, rejected.body)
		}
		w.checkWhole(<-shortDone, 30)
		if resp := <-plainDone; resp.StatusCode != http.StatusOK {
			w.t.Errorf("plain answer has status %d", resp.StatusCode)
		}
		first := <-longDone
		if first.cut {
			w.t.Error("the handed-over connection was cut")
		}
		part := events(first.body)
		long.instance = 2
		rest := w.must(long.with("Last-Event-ID", part[len(part)-1].id))
		if got := text(w.t, part) + text(w.t, events(rest.body)); got != wantText(200) {
			w.t.Errorf("both parts together are %q, want %q", got, wantText(200))
		}
		if took := <-stopped; took > 4*time.Second {
			w.t.Errorf("shutdown took %v", took)
		}
		w.checkFreed()
	}, frontend.Limits{DrainTimeout: 2 * time.Second})
}

// TestSlowReader guards against a caller that stops reading and holds its slot.
func TestSlowReader(t *testing.T) {
	run(t, func(w *world) {
		c := w.dial(1)
		defer c.Close()
		body := chat(3000, true).body
		send(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-v\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		time.Sleep(midStream)
		if s := w.engines["decode-1"].Stats(); s.SlotsInUse != 1 {
			w.t.Fatalf("%d slots in use, want 1", s.SlotsInUse)
		}
		// The buffers of the connection hold about 300 events, 6 s of the answer.
		time.Sleep(10 * time.Second)
		w.checkFreed()
	}, frontend.Limits{WriteTimeout: time.Second})
}

// TestPausedReader guards against a stall of the caller that is taken for a
// stall of the engine.
func TestPausedReader(t *testing.T) {
	run(t, func(w *world) {
		c := w.dial(1)
		defer c.Close()
		body := chat(600, true).body
		send(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-v\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		time.Sleep(10 * time.Second)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			w.t.Fatal(err)
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			w.t.Fatal(err)
		}
		w.checkWhole(&response{Response: resp, body: data}, 600)
		if resumes := w.engines["decode-1"].Stats().Resumes; resumes != 0 {
			w.t.Errorf("the stream was resumed %d times", resumes)
		}
	})
}
