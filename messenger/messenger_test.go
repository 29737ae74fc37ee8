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

// echoHandler responds to messages with what they contain.
type echoHandler struct {
	// request is the last ExchangeRequest received.
	request *egretflow.ExchangeRequest
	// eventCount is the number of events recorded.
	eventCount int
}

func (e *echoHandler) Record(egretflow.Event) { e.eventCount++ }

func (e *echoHandler) HandleExchange(_ context.Context, r *egretflow.ExchangeRequest) (*egretflow.ExchangeResponse, error) {
	e.request = r
	response := &egretflow.ExchangeResponse{From: "peer", Incarnation: 3, Revision: r.Revision}
	for _, d := range r.Demands {
		response.Grants = append(response.Grants, egretflow.Grant{Server: d.Server, Slots: d.Held, ExpiresAt: r.SentAt.Add(2 * time.Second)})
	}
	return response, nil
}

func (e *echoHandler) HandlePull(context.Context, *egretflow.PullRequest) (*egretflow.PullResponse, error) {
	return nil, fmt.Errorf("pull: %w", egretflow.ErrNotFound)
}

func (e *echoHandler) HandleCommitClaims(_ context.Context, r *egretflow.CommitRequest) (*egretflow.CommitResponse, error) {
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

// runWithPeers runs f in virtual time with a client and a server on an in-memory
// network. Both know the same servers.
func runWithPeers(t *testing.T, clientKey string, known []egretflow.ServerName, f func(*testing.T, *pipenet.Network, *Client, *echoHandler)) {
	synctest.Test(t, func(t *testing.T) {
		network, handler, names := pipenet.New(time.Now), &echoHandler{}, NewServerNameCodec()
		names.SetServers(known)
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
		Crashes: []egretflow.CrashReport{
			{Fingerprint: 1 << 60, Servers: []egretflow.ServerName{"other"}, ExpiresAt: sentAt.Add(time.Minute)},
			{Fingerprint: 7, Others: []egretflow.PartHash{5}, Part: true, Servers: []egretflow.ServerName{"other"}, ExpiresAt: sentAt.Add(time.Minute)},
		},
	}
}

// Guards against fields that the encoding loses or rounds, for servers sent by
// code and in full.
func TestMessagesKeepFields(t *testing.T) {
	runWithPeers(t, "right", []egretflow.ServerName{"known"}, func(t *testing.T, _ *pipenet.Network, c *Client, h *echoHandler) {
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
		if c.cfg.Meter.WrittenBytes() == 0 || c.cfg.Meter.ReadBytes() == 0 {
			t.Error("bytes on the connection are not counted")
		}
		claim := egretflow.Claim{KeyHash: "k", Holder: "self", State: egretflow.ClaimStateClaimed, ExpiresAt: sentAt.UTC()}
		committed, err := c.CommitClaims(t.Context(), peerMember, &egretflow.CommitRequest{From: "self", Claims: []egretflow.Claim{claim}, Documents: []string{"Claims/1/2"}})
		if err != nil || !reflect.DeepEqual(committed.Results[0].Claim, claim) {
			t.Errorf("commit returned %+v, %v, want %+v", committed, err, claim)
		}
		if _, err := c.Pull(t.Context(), peerMember, &egretflow.PullRequest{}); !errors.Is(err, egretflow.ErrNotFound) {
			t.Errorf("pull error is %v, want ErrNotFound", err)
		}
	})
}

// Guards against access without a valid key (12), and against refused calls that
// reach the handler or are not recorded.
func TestInvalidKeyIsRefused(t *testing.T) {
	for key, allowed := range map[string]bool{"right": true, "old": true, "wrong": false, "": false} {
		runWithPeers(t, key, nil, func(t *testing.T, _ *pipenet.Network, c *Client, h *echoHandler) {
			_, err := c.Exchange(t.Context(), peerMember, exchangeRequest())
			if allowed != (err == nil) || !allowed && (!errors.Is(err, egretflow.ErrUnauthorized) || h.eventCount != 1 || h.request != nil) {
				t.Errorf("key %q: error %v, %d events", key, err, h.eventCount)
			}
		})
	}
}

// Guards against further use of a connection that has stopped delivering data
// without an error.
func TestStalledConnectionIsReplaced(t *testing.T) {
	runWithPeers(t, "right", nil, func(t *testing.T, network *pipenet.Network, c *Client, _ *echoHandler) {
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

// Guards against invalid messages that reach a handler or the caller of the client.
func TestInvalidFieldsAreRefused(t *testing.T) {
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
		{"Claims[0].KeyHash", &egretflow.CommitRequest{From: "a", Documents: []string{"d"}, Claims: []egretflow.Claim{{}}}},
		{"Claims[0].State", &egretflow.CommitRequest{From: "a", Documents: []string{"d"}, Claims: []egretflow.Claim{{KeyHash: "k", Holder: "a", State: "Odd"}}}},
		{"Claims[0].Token", &egretflow.CommitRequest{From: "a", Documents: []string{"d"}, Claims: []egretflow.Claim{{KeyHash: "k", Token: strings.Repeat("x", MaxTextBytes+1)}}}},
		{"Results[0].Error", &egretflow.CommitResponse{Results: []egretflow.CommitResult{{Error: "Odd"}}}},
	}
	c, err := newCodec(NewServerNameCodec())
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

// Guards against server names that change when they are sent, and against unknown
// codes that are decoded.
func TestServerNameCodes(t *testing.T) {
	names := NewServerNameCodec()
	names.SetServers([]egretflow.ServerName{"a", "b"})
	for _, s := range []egretflow.ServerName{"a", "b", "c"} {
		if got, ok := names.decode(asDecoded(names.encode(s))); !ok || got != s {
			t.Errorf("%s comes back as %q, %v", s, got, ok)
		}
	}
	if _, ok := names.decode(uint64(shortCode("c"))); ok {
		t.Error("an unknown code was decoded")
	}
}

// asDecoded converts codes to the type that the CBOR decoder returns.
func asDecoded(v any) any {
	if code, ok := v.(uint32); ok {
		return uint64(code)
	}
	return v
}
