package messenger

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

// Guards against prefill work that the encoding loses or assigns to another server
// or importance, so that peers choose busy servers, and against invalid prefill
// work that is accepted.
func TestPrefillLoadRoundTrip(t *testing.T) {
	load := &egretflow.PrefillLoad{
		Backlogs: []egretflow.Backlog{{Server: "prefill-1", Tokens: 3000}},
		Queues:   []egretflow.Queue{{Pool: "engines", Tokens: [4]int{0, 70, 0, 12}}},
	}
	tests := []struct {
		name string
		load *egretflow.PrefillLoad
		want string
	}{
		{"work on servers and in queues", load, ""},
		{"no room in the budget", nil, ""},
		{"negative tokens", &egretflow.PrefillLoad{Backlogs: []egretflow.Backlog{{Server: "a", Tokens: -1}}}, "Prefill.Backlogs[0].Tokens"},
		{"unnamed pool", &egretflow.PrefillLoad{Queues: []egretflow.Queue{{}}}, "Prefill.Queues[0].Pool"},
	}
	names := NewServerNameCodec()
	names.SetServers([]egretflow.ServerName{"prefill-1"})
	codec, err := newCodec(names)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sent := &egretflow.ExchangeRequest{From: "entry-1", SentAt: time.UnixMicro(1), Prefill: test.load}
			data, err := codec.Marshal(sent)
			if err != nil {
				t.Fatal(err)
			}
			var got egretflow.ExchangeRequest
			err = codec.Unmarshal(data, &got)
			var field *egretflow.FieldError
			switch {
			case test.want != "":
				if !errors.As(err, &field) || field.Field != test.want {
					t.Errorf("error %v, want field %s", err, test.want)
				}
			case err != nil || !reflect.DeepEqual(got.Prefill, test.load):
				t.Errorf("got %+v, %v; want %+v", got.Prefill, err, test.load)
			}
		})
	}
}
