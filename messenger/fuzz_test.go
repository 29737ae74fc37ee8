package messenger

import (
	"testing"

	"github.com/egretflow/egretflow"
)

// fuzzDecode guards against input that makes the decoder panic, and against
// accepted messages whose encoding is not accepted.
func fuzzDecode[T any](f *testing.F, seeds ...*T) {
	names := NewServerNameCodec()
	names.SetServers([]egretflow.ServerName{"known"})
	c, err := newCodec(names)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range seeds {
		data, err := c.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m T
		if c.Unmarshal(data, &m) != nil {
			return
		}
		again, err := c.Marshal(&m)
		if err != nil {
			t.Fatalf("encode accepted message: %v", err)
		}
		if err := c.Unmarshal(again, &m); err != nil {
			t.Fatalf("decode encoding of accepted message: %v", err)
		}
	})
}

func FuzzExchangeRequest(f *testing.F) { fuzzDecode(f, exchangeRequest()) }

func FuzzExchangeResponse(f *testing.F) {
	fuzzDecode(f, &egretflow.ExchangeResponse{From: "peer", Grants: []egretflow.Grant{
		{Server: "known", Slots: 2, ExpiresAt: sentAt}, {Server: "other", ExpiresAt: sentAt.Add(-1e9)},
	}})
}

func FuzzCommitRequest(f *testing.F) {
	fuzzDecode(f, &egretflow.CommitRequest{From: "self", Documents: []string{"d"}, Claims: []egretflow.Claim{{
		KeyHash: "k", Holder: "self", State: egretflow.ClaimStateDone, ExpiresAt: sentAt,
		Outcome: &egretflow.Outcome{Status: 200, Body: []byte("done")},
	}}})
}
