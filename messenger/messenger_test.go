package messenger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/pipenet"
)

var (
	serverAddress = netip.MustParseAddrPort("10.0.0.1:7000")
	clientHost    = netip.MustParseAddr("10.0.0.2")
	sentAt        = time.UnixMicro(1767225600123456)
)

// echo answers with what it got; events counts the records.
type echo struct {
	request *egretflow.ExchangeRequest
	events  int
}

func (e *echo) Record(egretflow.Event) { e.events++ }

func (e *echo) HandleExchange(_ context.Context, r *egretflow.ExchangeRequest) (*egretflow.ExchangeResponse, error) {
	e.request = r
	response := &egretflow.ExchangeResponse{From: "peer", Incarnation: 3, Revision: r.Revision}
	for _, d := range r.Demands {
		response.Grants = append(response.Grants, egretflow.Grant{Server: d.Server, Slots: d.Held, ExpiresAt: r.SentAt.Add(2 * time.Second)})
	}
	return response, nil
}

func (e *echo) HandlePull(context.Context, *egretflow.PullRequest) (*egretflow.PullResponse, error) {
	return nil, fmt.Errorf("pull: %w", egretflow.ErrNotFound)
}

func (e *echo) HandleCommitClaims(_ context.Context, r *egretflow.CommitRequest) (*egretflow.CommitResponse, error) {
	response := &egretflow.CommitResponse{}
	for _, c := range r.Claims {
		response.Results = append(response.Results, egretflow.CommitResult{Claim: c})
	}
	return response, nil
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// connect runs f in virtual time with a client and a server.
func connectPair(t *testing.T, clientKey string, known []egretflow.ServerName, f func(*testing.T, *pipenet.Network, *Client, *echo)) {
	synctest.Test(t, func(t *testing.T) {
		network, handler, names := pipenet.New(time.Now), &echo{}, NewNames()
		names.Set(known)
		verifier, err := NewKeyVerifier([]string{keyHash("old"), keyHash("right")})
		if err != nil {
			t.Fatal(err)
		}
		h, err := NewHandler(HandlerConfig{Handler: handler, Names: names, Verifier: AnyVerifier{CertificateVerifier{}, verifier}, Recorder: handler, Clock: time.Now})
		if err != nil {
			t.Fatal(err)
		}
		listener, err := network.Listen(serverAddress)
		if err != nil {
			t.Fatal(err)
		}
		server := NewServer(h, nil)
		go func() { _ = Serve(server, listener) }()
		defer func() { _ = server.Close() }()
		client, err := NewClient(ClientConfig{
			Meter: NewMeter(BudgetBytesPerSecond, time.Now), Names: names, Clock: time.Now,
			Key: func() string { return clientKey }, Dial: network.Dialer(clientHost),
		})
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		f(t, network, client, handler)
	})
}

var peerMember = egretflow.Member{Name: "peer", Address: serverAddress}

func exchangeRequest() *egretflow.ExchangeRequest {
	return &egretflow.ExchangeRequest{
		From: "self", Incarnation: 9, SentAt: sentAt, Revision: 4, Slices: 2,
		Demands: []egretflow.Demand{{Server: "known", InUse: 1, Held: 2, Wanted: [4]int{0, 5}}, {Server: "other", Held: 3}},
		Crashes: []egretflow.CrashReport{{Fingerprint: 1 << 60, Servers: []egretflow.ServerName{"other"}, ExpiresAt: sentAt.Add(time.Minute)}},
	}
}

// Guards against fields that are lost or rounded on the way, for servers sent
// by code and by name.
func TestExchange(t *testing.T) {
	connectPair(t, "right", []egretflow.ServerName{"known"}, func(t *testing.T, _ *pipenet.Network, c *Client, h *echo) {
		sent := exchangeRequest()
		response, err := c.Exchange(t.Context(), peerMember, sent)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(h.request, sent) {
			t.Errorf("handler got %+v, want %+v", h.request, sent)
		}
		want := []egretflow.Grant{{Server: "known", Slots: 2, ExpiresAt: sentAt.Add(2 * time.Second)}, {Server: "other", Slots: 3, ExpiresAt: sentAt.Add(2 * time.Second)}}
		if !reflect.DeepEqual(response.Grants, want) {
			t.Errorf("client got grants %v, want %v", response.Grants, want)
		}
		if c.cfg.Meter.Written() == 0 || c.cfg.Meter.Read() == 0 {
			t.Error("bytes on the connection are not counted")
		}
		claim := egretflow.Claim{KeyHash: "k", Holder: "self", State: egretflow.ClaimStateClaimed, ExpiresAt: sentAt.UTC()}
		committed, err := c.CommitClaims(t.Context(), peerMember, &egretflow.CommitRequest{From: "self", Claims: []egretflow.Claim{claim}})
		if err != nil || !reflect.DeepEqual(committed.Results[0].Claim, claim) {
			t.Errorf("commit returned %+v, %v, want %+v", committed, err, claim)
		}
		if _, err := c.Pull(t.Context(), peerMember, &egretflow.PullRequest{}); !errors.Is(err, egretflow.ErrNotFound) {
			t.Errorf("pull error is %v, want ErrNotFound", err)
		}
	})
}

// Guards against access without a valid key (12).
func TestCredentials(t *testing.T) {
	for key, allowed := range map[string]bool{"right": true, "old": true, "wrong": false, "": false} {
		connectPair(t, key, nil, func(t *testing.T, _ *pipenet.Network, c *Client, h *echo) {
			_, err := c.Exchange(t.Context(), peerMember, exchangeRequest())
			if allowed != (err == nil) || !allowed && (!errors.Is(err, egretflow.ErrUnauthorized) || h.events != 1 || h.request != nil) {
				t.Errorf("key %q: error %v, %d events", key, err, h.events)
			}
		})
	}
}

// Guards against a connection that has stopped delivering and is used for ever.
func TestStalledConnectionIsReplaced(t *testing.T) {
	connectPair(t, "right", nil, func(t *testing.T, network *pipenet.Network, c *Client, _ *echo) {
		for _, stalled := range []bool{false, true, false} {
			if stalled {
				network.Silence(clientHost)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
			_, err := c.Exchange(ctx, peerMember, exchangeRequest())
			cancel()
			if stalled != (err != nil) {
				t.Errorf("stalled %v: error %v", stalled, err)
			}
		}
	})
}

// Guards against messages that a handler should never see.
func TestChecks(t *testing.T) {
	tests := []struct {
		field   string
		message any
	}{
		{"From", &egretflow.ExchangeRequest{From: "a b"}},
		{"Demands[0].Server", &egretflow.ExchangeRequest{From: "a", Demands: []egretflow.Demand{{Server: "../x"}}}},
		{"Demands[1].Server", &egretflow.ExchangeRequest{From: "a", Demands: []egretflow.Demand{{Server: "x"}, {Server: "x"}}}},
		{"Demands[0]", &egretflow.ExchangeRequest{From: "a", Demands: []egretflow.Demand{{Server: "x", Held: MaxSlots + 1}}}},
		{"Crashes", &egretflow.ExchangeRequest{From: "a", Crashes: make([]egretflow.CrashReport, MaxCrashes+1)}},
		{"Crashes[0].Servers", &egretflow.ExchangeResponse{From: "a", Crashes: []egretflow.CrashReport{{Servers: make([]egretflow.ServerName, MaxCrashServers+1)}}}},
		{"Grants[0]", &egretflow.ExchangeResponse{From: "a", Grants: []egretflow.Grant{{Server: "x", Slots: MaxSlots + 1}}}},
		{"Claims[0].KeyHash", &egretflow.CommitRequest{From: "a", Claims: []egretflow.Claim{{}}}},
		{"Claims[0].State", &egretflow.CommitRequest{From: "a", Claims: []egretflow.Claim{{KeyHash: "k", Holder: "a", State: "Odd"}}}},
		{"Claims[0].Token", &egretflow.CommitRequest{From: "a", Claims: []egretflow.Claim{{KeyHash: "k", Token: strings.Repeat("x", MaxTextBytes+1)}}}},
		{"Results[0].Error", &egretflow.CommitResponse{Results: []egretflow.CommitResult{{Error: "Odd"}}}},
	}
	c, err := newCodec(NewNames())
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range tests {
		data, err := c.Marshal(test.message)
		if err != nil {
			t.Fatal(err)
		}
		var field *egretflow.FieldError
		err = c.Unmarshal(data, reflect.New(reflect.TypeOf(test.message).Elem()).Interface())
		if !errors.As(err, &field) || field.Field != test.field {
			t.Errorf("%s: error is %v", test.field, err)
		}
	}
}

// Guards against two servers with the same code: both are sent in full, and an
// ambiguous or unknown code is dropped.
func TestNames(t *testing.T) {
	names := NewNames()
	names.Set([]egretflow.ServerName{"a", "b"})
	for _, s := range []egretflow.ServerName{"a", "b", "c"} {
		if got, ok := names.decode(widened(names.encode(s))); !ok || got != s {
			t.Errorf("%s comes back as %q, %v", s, got, ok)
		}
	}
	if _, ok := names.decode(uint64(shortCode("c"))); ok {
		t.Error("an unknown code was decoded")
	}
}

// widened returns integers in the type that the decoder gives.
func widened(v any) any {
	if code, ok := v.(uint32); ok {
		return uint64(code)
	}
	return v
}
