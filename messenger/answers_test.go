package messenger_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/acceptor"
	"github.com/egretflow/egretflow/messenger"
)

// Guards against a message to a peer that succeeds by an answer which is none in the
// protocol.
func TestBrokenAnswers(t *testing.T) {
	for name, fields := range map[string][]hpack.HeaderField{
		"Status000":           {{Name: ":status", Value: "000"}},
		"StatusWithSign":      {{Name: ":status", Value: "+20"}},
		"Status101":           {{Name: ":status", Value: "101"}},
		"Status600":           {{Name: ":status", Value: "600"}},
		"BlankInName":         {{Name: ":status", Value: "200"}, {Name: "no te", Value: "1"}},
		"ControlInName":       {{Name: ":status", Value: "200"}, {Name: "no\x01te", Value: "1"}},
		"StreamWithoutAnswer": {{Name: ":status", Value: "200"}},
	} {
		t.Run(name, func(t *testing.T) {
			client, err := messenger.NewClient(messenger.ClientConfig{
				Clock: time.Now, Names: messenger.NewServerNameCodec(), Meter: messenger.NewMeter(1<<20, time.Now),
			})
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			peer := egretflow.Member{Name: "entry-2", Address: listenHTTP2(t, fields)}
			if _, err := client.Exchange(t.Context(), peer, &egretflow.ExchangeRequest{}); !errors.Is(err, egretflow.ErrUnavailable) {
				t.Errorf("got %v, want ErrUnavailable", err)
			}
		})
	}
}

// listenHTTP2 starts a peer that answers each request with the fields and no body.
func listenHTTP2(t *testing.T, fields []hpack.HeaderField) netip.AddrPort {
	t.Helper()
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for _, f := range fields {
		if err := encoder.WriteField(f); err != nil {
			t.Fatal(err)
		}
	}
	return acceptor.Serve(t, func(conn *net.TCPConn) {
		if _, err := io.ReadFull(conn, make([]byte, len(http2.ClientPreface))); err != nil {
			return
		}
		framer := http2.NewFramer(conn, conn)
		_ = framer.WriteSettings()
		for {
			frame, err := framer.ReadFrame()
			if err != nil {
				return
			}
			if request, ok := frame.(*http2.HeadersFrame); ok {
				_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: request.StreamID, BlockFragment: block.Bytes(), EndHeaders: true, EndStream: true})
			}
		}
	})
}
