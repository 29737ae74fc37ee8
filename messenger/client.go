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

// linkLifetime is how long the connection to a peer is kept without use.
const linkLifetime = time.Minute

// ClientConfig is what a client needs.
type ClientConfig struct {
	Meter *Meter
	Names *Names
	Clock egretflow.Clock
	// Key returns the bearer key of this instance, or "" with certificates.
	Key func() string
	// TLS, if set, is used for all connections to peers.
	TLS *tls.Config
	// Dial opens a connection. The default is a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends messages to peers. It implements egretflow.Peers and is safe for
// concurrent use.
type Client struct {
	cfg   ClientConfig
	codec *codec
	mu    sync.Mutex
	links map[netip.AddrPort]*link
}

var _ egretflow.Peers = (*Client)(nil)

// NewClient returns a client without connections.
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

// Exchange implements egretflow.Peers. After a timeout the next call uses a new
// connection (rule 5).
func (c *Client) Exchange(ctx context.Context, to egretflow.Member, r *egretflow.ExchangeRequest) (*egretflow.ExchangeResponse, error) {
	l := c.link(to.Address)
	response, err := call(ctx, c, l.exchange, r)
	if err != nil {
		if connect.CodeOf(err) == connect.CodeDeadlineExceeded || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.drop(to.Address, l)
		}
		return nil, fmt.Errorf("exchange with %s: %w", to.Name, fromConnectError(err))
	}
	return response, nil
}

// Pull implements egretflow.Peers.
func (c *Client) Pull(ctx context.Context, to egretflow.Member, r *egretflow.PullRequest) (*egretflow.PullResponse, error) {
	response, err := call(ctx, c, c.link(to.Address).pull, r)
	if err != nil {
		return nil, fmt.Errorf("pull tables from %s: %w", to.Name, fromConnectError(err))
	}
	return response, nil
}

// CommitClaims implements egretflow.Peers. After an error the peer may have
// committed the claims.
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

// drop closes a link that has stopped delivering.
func (c *Client) drop(address netip.AddrPort, l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[address] == l {
		delete(c.links, address)
	}
	l.close()
}

// link returns the connections to a peer and closes those unused for long.
func (c *Client) link(address netip.AddrPort) *link {
	now := c.cfg.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[address]
	if l == nil {
		for other, unused := range c.links {
			if now.Sub(unused.usedAt) > linkLifetime {
				unused.close()
				delete(c.links, other)
			}
		}
		l = newLink(c.cfg, c.codec, address)
		c.links[address] = l
	}
	l.usedAt = now
	return l
}

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

// fromConnectError makes the errors of this module visible to errors.Is.
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
