package connector_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/egretflow/egretflow/connector"
	"github.com/egretflow/egretflow/internal/stub/acceptor"
	"github.com/egretflow/egretflow/reserver"
)

// answerCase is an answer of a server in testdata/answers.json, in which names in braces
// stand for the parts that belong to a request. The test of package main sends the same
// answers to the program.
type answerCase struct {
	Name, Answer string
	// Kind is Sound for a valid answer, Broken for an invalid one and BrokenEnd for one that
	// shows only at its end that it is invalid.
	Kind string
	// TransportAccepts reports whether Transport accepts the broken answer, and KeptAccepts
	// whether it does so if it keeps connections: net/http shows nothing of what is broken.
	TransportAccepts, KeptAccepts bool
}

const answerBody = "the whole body"

func (c *answerCase) text() string {
	return strings.NewReplacer("{Fields}", "X-Request-Id: r1\r\n", "{Length}", strconv.Itoa(len(answerBody)), "{Body}", answerBody,
		"{Chunks}", fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(answerBody), answerBody)).Replace(c.Answer)
}

func readAnswerCases(t *testing.T) []answerCase {
	t.Helper()
	data, err := os.ReadFile("testdata/answers.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []answerCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	return cases
}

// sender sends a request in one of the ways of the package.
type sender struct {
	name string
	send func(req *http.Request) (*http.Response, error)
}

func senders() []sender {
	client := connector.New((&net.Dialer{}).DialContext, nil, reserver.Unbounded())
	open := func(req *http.Request) (*http.Response, error) {
		resp, _, err := client.Open(req)
		return resp, err
	}
	// The bytes of an answer may arrive in any pieces.
	slow := connector.New(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return oneByteConn{conn}, err
	}, nil, reserver.Unbounded())
	openSlow := func(req *http.Request) (*http.Response, error) {
		resp, _, err := slow.Open(req)
		return resp, err
	}
	return []sender{{"Client", open}, {"ClientByByte", openSlow}, {"Transport", connector.NewTransport(&http.Transport{DisableKeepAlives: true}).RoundTrip}}
}

// oneByteConn is a connection of which each read returns one byte.
type oneByteConn struct{ net.Conn }

func (c oneByteConn) Read(p []byte) (int, error) { return c.Conn.Read(p[:min(1, len(p))]) }

// Guards against a caller of the package that takes bytes for an answer which are none in
// the protocol, and against sound answers that are rejected.
func TestAnswers(t *testing.T) {
	for _, c := range readAnswerCases(t) {
		url := "http://" + acceptor.Serve(t, func(conn *net.TCPConn) { acceptor.Answer(conn, c.text()) }).String()
		kept := sender{"KeptTransport", connector.NewTransport(&http.Transport{}).RoundTrip}
		for _, s := range append(senders(), kept) {
			t.Run(c.Name+"/"+s.name, func(t *testing.T) {
				want := c.Kind == "Sound" || c.TransportAccepts && s.name == "Transport" || c.KeptAccepts && s.name == "KeptTransport"
				if body, err := receive(t.Context(), s, url, "x"); (err == nil) != want || c.Kind == "Sound" && body != answerBody {
					t.Errorf("body %q, error %v, want an answer: %v", body, err, want)
				}
			})
		}
	}
}

// receive sends a request and returns the body of its response.
func receive(ctx context.Context, s sender, url, upload string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(upload))
	if err != nil {
		return "", fmt.Errorf("create request: %w", err)
	}
	resp, err := s.send(req)
	if err != nil {
		return "", fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
