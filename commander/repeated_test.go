package commander

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/egretflow/egretflow"
)

const (
	acceptedOrder = "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"
	staleOrder    = "HTTP/1.1 409 X\r\nContent-Length: 35\r\n\r\n" + `{"error":{"code":"stale_fencing"} }`
)

// repeatFirst serves requests on ln with the responses, in order. On a connection that
// is kept it writes the first response once more before a later one.
func repeatFirst(ln net.Listener, responses []string) {
	for n := 0; n < len(responses); {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		reader, earlier := bufio.NewReader(conn), ""
		for n < len(responses) {
			req, err := http.ReadRequest(reader)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = fmt.Fprint(conn, earlier, responses[n])
			earlier = responses[n]
			n++
		}
		_ = conn.Close()
	}
}

// Guards against the repeated response to an earlier order that counts as the response
// to the next one: the holder of the lease gives it up, or takes an order that the engine
// refused as accepted.
func TestRepeatedOrderResponse(t *testing.T) {
	for name, test := range map[string]struct {
		responses []string
		want      error
	}{
		"Refused":  {[]string{staleOrder, acceptedOrder}, nil},
		"Accepted": {[]string{acceptedOrder, staleOrder}, errStaleFencing},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			go repeatFirst(ln, test.responses)
			server := &egretflow.Server{Name: "e", Address: netip.MustParseAddrPort(ln.Addr().String())}
			client := engineClient{client: &http.Client{Transport: &http.Transport{}}, scheme: "http"}
			_ = client.sendOrder(t.Context(), server, order{Fencing: 1})
			if err := client.sendOrder(t.Context(), server, order{Fencing: 2}); !errors.Is(err, test.want) {
				t.Errorf("second order: %v, want %v", err, test.want)
			}
		})
	}
}
