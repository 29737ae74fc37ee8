package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/fault"
	"github.com/egretflow/egretflow/internal/stub/stubtest"
)

const (
	prefillURL = "http://10.0.0.1:80"
	decodeURL  = "http://10.0.0.2:80"
)

// cluster is a prefill and a decode engine on an in-memory network.
type cluster struct {
	t               *testing.T
	hosts           *stubtest.Hosts
	prefill, decode *Engine
	client          *http.Client
}

func newCluster(t *testing.T, configure func(c *Config)) *cluster {
	hosts := stubtest.New(t)
	build := func(name, host string, role egretflow.Role) *Engine {
		cfg := Config{
			Name: name, Role: role, PrefillTokensPerSecond: 1000, KVBytesPerToken: 1000,
			LinkBytesPerSecond: 1_000_000, Client: hosts.Client(host),
		}
		if configure != nil {
			configure(&cfg)
		}
		e := New(cfg)
		hosts.Serve(host+":80", e, e.Faults)
		return e
	}
	return &cluster{
		t: t, hosts: hosts, client: hosts.Client("10.0.0.9"),
		prefill: build("p", "10.0.0.1", egretflow.RolePrefill),
		decode:  build("d", "10.0.0.2", egretflow.RoleDecode),
	}
}

// send returns the response, or nil if the connection was aborted or ctx ended.
func (c *cluster) send(ctx context.Context, client *http.Client, method, url, id string, body any) *http.Response {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(string(data)))
	if err != nil {
		panic(err)
	}
	r.Header.Set("X-Request-Id", id)
	resp, err := client.Do(r)
	if err != nil {
		return nil
	}
	return resp
}

func read(resp *http.Response) string {
	if resp == nil {
		return ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return string(data)
}

func (c *cluster) prefillParams(id, prompt string) json.RawMessage {
	c.t.Helper()
	body := read(c.send(c.t.Context(), c.client, http.MethodPost, prefillURL+"/v1/completions", id,
		jsonObject{"prompt": prompt, "max_tokens": 1, "kv_transfer_params": jsonObject{"do_remote_decode": true}}))
	var answer struct {
		Params json.RawMessage `json:"kv_transfer_params"`
	}
	if err := json.Unmarshal([]byte(body), &answer); err != nil {
		c.t.Fatalf("prefill answer %q: %v", body, err)
	}
	return answer.Params
}

// Guards against slots or memory that stay in use on either engine after an abort or
// a disconnect during prefill, transfer or decode. The prompt takes 1 s to compute
// and 1 s to transfer.
func TestEndedRequestFreesSlotsAndMemory(t *testing.T) {
	prompt := strings.Repeat("a", 4000)
	for _, tt := range []struct {
		name    string
		at      time.Duration
		abort   bool
		freedBy time.Duration
	}{
		{"abort in prefill", 500 * time.Millisecond, true, 0},
		{"disconnect in prefill", 500 * time.Millisecond, false, 0},
		{"abort in transfer", 1500 * time.Millisecond, true, 0},
		{"disconnect in transfer", 1500 * time.Millisecond, false, DefaultStreamRetention},
		{"abort in decode", 2500 * time.Millisecond, true, 0},
		{"disconnect in decode", 2500 * time.Millisecond, false, DefaultStreamRetention},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, nil)
				ctx, cancel := context.WithTimeout(t.Context(), tt.at)
				if tt.abort {
					ctx, cancel = context.WithCancel(t.Context())
				}
				defer cancel()
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					resp := c.send(ctx, c.client, http.MethodPost, prefillURL+"/v1/completions", "r",
						jsonObject{"prompt": prompt, "max_tokens": 1, "kv_transfer_params": jsonObject{"do_remote_decode": true}})
					var answer struct {
						Params json.RawMessage `json:"kv_transfer_params"`
					}
					if json.Unmarshal([]byte(read(resp)), &answer) != nil || answer.Params == nil {
						return
					}
					read(c.send(ctx, c.client, http.MethodPost, decodeURL+"/v1/completions", "r",
						jsonObject{"prompt": prompt, "max_tokens": 1000, "stream": true, "kv_transfer_params": answer.Params}))
				}()
				time.Sleep(tt.at)
				if tt.abort {
					for _, url := range []string{prefillURL, decodeURL} {
						read(c.send(t.Context(), c.client, http.MethodPost, url+"/abort_request", "", jsonObject{"rid": "r"}))
					}
				}
				<-ended
				time.Sleep(tt.freedBy)
				synctest.Wait()
				checkIdle(t, c.prefill, c.decode)
			})
		})
	}
}

// Guards against a stream that loses or repeats tokens when it is resumed after its
// first connection was closed or silenced, and against a resume after
// StreamRetention that succeeds.
func TestResumeStream(t *testing.T) {
	const tokens = 40
	for _, tt := range []struct {
		name string
		lose func(c *cluster, first *http.Response)
		// after is the time between loss and resume.
		after time.Duration
		want  int
	}{
		{"disconnected", func(_ *cluster, first *http.Response) { first.Body.Close() }, time.Second, http.StatusOK},
		{"silent", func(c *cluster, _ *http.Response) { c.decode.Faults.Add(fault.Fault{Kind: fault.Silent}) }, time.Second, http.StatusOK},
		{"finished meanwhile", func(_ *cluster, first *http.Response) { first.Body.Close() }, 2 * time.Second, http.StatusOK},
		{"too late", func(_ *cluster, first *http.Response) { first.Body.Close() }, 5 * time.Second, http.StatusNotFound},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, nil)
				first := c.send(t.Context(), c.client, http.MethodPost, decodeURL+"/v1/completions", "r",
					jsonObject{"prompt": "hello", "max_tokens": tokens, "stream": true, "stream_options": jsonObject{"include_usage": true}})
				defer first.Body.Close()
				var got strings.Builder
				seen := 0
				for lines := bufio.NewScanner(first.Body); seen < 5 && lines.Scan(); {
					got.WriteString(lines.Text() + "\n")
					if strings.HasPrefix(lines.Text(), "data:") {
						seen++
					}
				}
				tt.lose(c, first)
				time.Sleep(tt.after)
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, decodeURL+"/v1/streams/r", nil)
				if err != nil {
					t.Fatal(err)
				}
				r.Header.Set("Last-Event-ID", strconv.Itoa(seen))
				resp, err := c.hosts.Client("10.0.0.8").Do(r)
				if err != nil {
					t.Fatal(err)
				}
				rest := read(resp)
				if resp.StatusCode != tt.want {
					t.Fatalf("status %d, want %d", resp.StatusCode, tt.want)
				}
				if tt.want != http.StatusOK {
					return
				}
				if text := streamedText(t, got.String()+rest); text != AnswerText("hello", 1, tokens) {
					t.Errorf("text %q", text)
				}
				if !strings.Contains(rest, `"usage":`) || !strings.HasSuffix(rest, "[DONE]\n\n") {
					t.Errorf("no usage or [DONE] event in %q", rest)
				}
				checkIdle(t, c.decode)
			})
		})
	}
}

// Guards against an import that does not fail, or does not free its memory, when the
// engine it fetches from crashes during the transfer.
func TestSourceCrashFailsImport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, nil)
		params := c.prefillParams("r", strings.Repeat("a", 4000))
		time.AfterFunc(500*time.Millisecond, func() { c.prefill.Faults.Add(fault.Fault{Kind: fault.Crash}) })
		resp := c.send(t.Context(), c.client, http.MethodPost, decodeURL+"/v1/completions", "r",
			jsonObject{"prompt": "x", "stream": true, "kv_transfer_params": params})
		if body := read(resp); !strings.Contains(body, "kv_transfer_failed") {
			t.Errorf("body %q", body)
		}
		checkIdle(t, c.prefill, c.decode)
	})
}

// Guards against transfers that use the full rate of the link at the same time
// instead of one after the other.
func TestExportsRunInSequence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, func(c *Config) { c.PrefillTokensPerSecond = 0 })
		params := []json.RawMessage{
			c.prefillParams("a", strings.Repeat("a", 1200)), c.prefillParams("b", strings.Repeat("b", 1200)),
		}
		start := time.Now()
		took := make(chan time.Duration)
		for n, p := range params {
			go func() {
				read(c.send(t.Context(), c.client, http.MethodPost, decodeURL+"/v1/completions", strconv.Itoa(n),
					jsonObject{"prompt": "x", "max_tokens": 1, "kv_transfer_params": p}))
				took <- time.Since(start).Round(time.Millisecond)
			}()
		}
		// Each request transfers 300 kB at 1 MB/s and then generates one token.
		if first, second := <-took, <-took; first != 325*time.Millisecond || second < 600*time.Millisecond || second > 650*time.Millisecond {
			t.Errorf("took %v and %v, want 325ms and 600ms to 650ms", first, second)
		}
	})
}
