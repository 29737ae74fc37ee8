package messenger

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
)

// linkIdleTimeout is how long connections to a peer are kept without use.
const linkIdleTimeout = time.Minute

// ClientConfig holds the settings and dependencies of a Client.
type ClientConfig struct {
	// Meter counts the bytes of all connections.
	Meter *Meter
	// Names is shared with the handler of this instance.
	Names *ServerNameCodec
	Clock egretflow.Clock
	// Key returns the bearer key of this instance, or "" if it has none and uses
	// a certificate. A nil Key means the same.
	Key func() string
	// TLS is used for all connections to peers; nil means HTTP/2 without TLS.
	TLS *tls.Config
	// Dial opens a connection. The default is a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends messages to peers. It implements egretflow.PeerClient and is
// safe for concurrent use.
type Client struct {
	cfg   ClientConfig
	codec *codec
	mu    sync.Mutex
	links map[netip.AddrPort]*link
}

var _ egretflow.PeerClient = (*Client)(nil)

// NewClient returns a Client. Connections are opened by the first call to a peer.
func NewClient(cfg ClientConfig) (*Client, error) {
	c, err := newCodec(cfg.Names)
	if err != nil {
		return nil, err
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	return &Client{cfg: cfg, codec: c, links: map[netip.AddrPort]*link{}}, nil
}

// Exchange implements egretflow.PeerClient. After a timeout the next call to
// the peer uses a new connection (rule 5).
func (c *Client) Exchange(ctx context.Context, to egretflow.Member, r *egretflow.ExchangeRequest) (*egretflow.ExchangeResponse, error) {
	l := c.link(to.Address)
	response, err := call(ctx, c, l.exchange, r)
	if err != nil {
		if connect.CodeOf(err) == connect.CodeDeadlineExceeded || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.closeLink(to.Address, l)
		}
		return nil, fmt.Errorf("exchange with %s: %w", to.Name, fromConnectError(err))
	}
	return response, nil
}

// Pull implements egretflow.PeerClient.
func (c *Client) Pull(ctx context.Context, to egretflow.Member, r *egretflow.PullRequest) (*egretflow.PullResponse, error) {
	response, err := call(ctx, c, c.link(to.Address).pull, r)
	if err != nil {
		return nil, fmt.Errorf("pull tables from %s: %w", to.Name, fromConnectError(err))
	}
	return response, nil
}

// CommitClaims implements egretflow.PeerClient. If it returns an error, the
// peer may still have committed the claims.
func (c *Client) CommitClaims(ctx context.Context, to egretflow.Member, r *egretflow.CommitRequest) (*egretflow.CommitResponse, error) {
	response, err := call(ctx, c, c.link(to.Address).commit, r)
	if err != nil {
		return nil, fmt.Errorf("commit claims at %s: %w", to.Name, fromConnectError(err))
	}
	return response, nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.links {
		l.close()
		delete(c.links, address)
	}
}

// closeLink closes a link that has stopped delivering data, so that the next call
// creates a new one.
func (c *Client) closeLink(address netip.AddrPort, l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[address] == l {
		delete(c.links, address)
	}
	l.close()
}

// link returns the link to a peer. When it creates one, it also closes the links
// that have not been used for linkIdleTimeout.
func (c *Client) link(address netip.AddrPort) *link {
	now := c.cfg.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[address]
	if l == nil {
		for other, otherLink := range c.links {
			if now.Sub(otherLink.usedAt) > linkIdleTimeout {
				otherLink.close()
				delete(c.links, other)
			}
		}
		l = newLink(c.cfg, c.codec, address)
		c.links[address] = l
	}
	l.usedAt = now
	return l
}

// call sends a message with the bearer key of this instance.
func call[Req, Res any](ctx context.Context, c *Client, client *connect.Client[Req, Res], message *Req) (*Res, error) {
	r := connect.NewRequest(message)
	if c.cfg.Key != nil {
		if key := c.cfg.Key(); key != "" {
			r.Header().Set("Authorization", "Bearer "+key)
		}
	}
	response, err := client.CallUnary(ctx, r)
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// fromConnectError wraps the error of this module that corresponds to the code of
// a connect error. Codes without a corresponding error mean that the peer is
// unavailable, except for invalid arguments and internal errors.
func fromConnectError(err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated:
		return fmt.Errorf("%w: %w", egretflow.ErrUnauthorized, err)
	case connect.CodePermissionDenied:
		return fmt.Errorf("%w: %w", egretflow.ErrForbidden, err)
	case connect.CodeNotFound:
		return fmt.Errorf("%w: %w", egretflow.ErrNotFound, err)
	case connect.CodeInvalidArgument, connect.CodeInternal:
		return err
	}
	return fmt.Errorf("%w: %w", egretflow.ErrUnavailable, err)
}
