package messenger

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/egretflow/egretflow"
)

// link holds the connections to one peer and the clients of the procedures that
// use them, so that the connections can be closed when they stop delivering data.
type link struct {
	transport *http.Transport
	exchange  *connect.Client[egretflow.ExchangeRequest, egretflow.ExchangeResponse]
	pull      *connect.Client[egretflow.PullRequest, egretflow.PullResponse]
	commit    *connect.Client[egretflow.CommitRequest, egretflow.CommitResponse]
	// usedAt is guarded by the mutex of the client.
	usedAt time.Time

	mu    sync.Mutex
	conns map[net.Conn]bool
	// cancelDials cancels all dials of the link. The transport does not run them
	// with the context of a request, so that they could outlive it.
	cancelDials context.CancelFunc
}

// dialTimeout limits a dial to a host that does not respond at all.
const dialTimeout = time.Second

func newLink(cfg ClientConfig, c *codec, address netip.AddrPort) *link {
	l := &link{conns: map[net.Conn]bool{}}
	dialContext, cancelDials := context.WithCancel(context.Background())
	l.cancelDials = cancelDials
	protocols := &http.Protocols{}
	protocols.SetHTTP2(cfg.TLS != nil)
	protocols.SetUnencryptedHTTP2(cfg.TLS == nil)
	l.transport = &http.Transport{
		Protocols:          protocols,
		TLSClientConfig:    cfg.TLS,
		IdleConnTimeout:    linkIdleTimeout,
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, to string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			stop := context.AfterFunc(dialContext, cancel)
			defer stop()
			conn, err := cfg.Dial(ctx, network, to)
			if err != nil {
				return nil, fmt.Errorf("dial peer: %w", err)
			}
			return l.track(cfg.Meter.Conn(conn)), nil
		},
	}
	scheme := "http://"
	if cfg.TLS != nil {
		scheme = "https://"
	}
	client := &http.Client{Transport: l.transport}
	base := scheme + address.String()
	l.exchange = newUnary[egretflow.ExchangeRequest, egretflow.ExchangeResponse](client, base+procedureExchange, c, MaxExchangeBytes)
	l.pull = newUnary[egretflow.PullRequest, egretflow.PullResponse](client, base+procedurePull, c, MaxMessageBytes)
	l.commit = newUnary[egretflow.CommitRequest, egretflow.CommitResponse](client, base+procedureCommit, c, MaxMessageBytes)
	return l
}

func newUnary[Req, Res any](client *http.Client, url string, c *codec, maxBytes int) *connect.Client[Req, Res] {
	return connect.NewClient[Req, Res](client, url,
		connect.WithCodec(c),
		connect.WithReadMaxBytes(maxBytes),
		connect.WithAcceptCompression("gzip", nil, nil),
	)
}

func (l *link) track(conn net.Conn) net.Conn {
	t := &trackedConn{Conn: conn, link: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[t] = true
	return t
}

// close closes all connections and cancels all dials. The link must not be used
// afterwards: its transport may still return a closed connection for a moment.
func (l *link) close() {
	l.cancelDials()
	l.mu.Lock()
	conns := make([]net.Conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
	l.transport.CloseIdleConnections()
}

// trackedConn removes itself from the connections of its link when it is closed.
type trackedConn struct {
	net.Conn
	link *link
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}
