package storeclient

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/pkg/errors"
)

// DefaultCallTimeout bounds one call. The store answers in milliseconds; a
// longer wait only delays the caller's own fallback in a slow period.
const DefaultCallTimeout = 2 * time.Second

// MaxResponseBytes bounds the answer to one call.
const MaxResponseBytes = 64 << 20

// ErrCompacted is returned by Watch when the store no longer has the changes
// after the requested revision. The caller reads the keys again.
var ErrCompacted = errors.New("revision is compacted")

// Config holds the settings of a Client.
type Config struct {
	// BaseURL is the gateway's address without a path, such as
	// http://10.0.0.1:2379.
	BaseURL string
	// Client sends the requests. Its own timeout must be 0, because a watch
	// stays open.
	Client *http.Client
	Clock  egretflow.Clock
	// CallTimeout bounds every call but Watch. 0 means DefaultCallTimeout.
	CallTimeout time.Duration
}

// Client is an egretflow.Store. It is safe for concurrent use.
type Client struct {
	cfg   Config
	calls counter
}

var _ egretflow.Store = (*Client)(nil)

// New checks the settings. It opens no connection.
func New(cfg Config) (*Client, error) {
	u, err := url.Parse(cfg.BaseURL)
	if err != nil {
		return nil, fmt.Errorf("parse store URL: %w", err)
	}
	if u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, &egretflow.FieldError{Field: "BaseURL", Reason: "must be an http or https URL"}
	}
	if cfg.Client == nil || cfg.Clock == nil {
		return nil, &egretflow.FieldError{Field: "Client", Reason: "client and clock are required"}
	}
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	cfg.BaseURL = strings.TrimSuffix(cfg.BaseURL, "/")
	return &Client{cfg: cfg}, nil
}

// Calls returns the number of calls so far by kind.
func (c *Client) Calls() map[CallKind]int64 { return c.calls.snapshot() }

// Get returns one entry or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (egretflow.StoreEntry, error) {
	entries, err := c.readRange(ctx, CallGet, rangeRequest{Key: []byte(key)})
	if err != nil {
		return egretflow.StoreEntry{}, fmt.Errorf("get %s: %w", key, err)
	}
	if len(entries) == 0 {
		return egretflow.StoreEntry{}, fmt.Errorf("get %s: %w", key, egretflow.ErrNotFound)
	}
	return entries[0], nil
}

// List returns all entries whose key starts with prefix, in key order, as of
// one store revision.
func (c *Client) List(ctx context.Context, prefix string) ([]egretflow.StoreEntry, error) {
	entries, err := c.readRange(ctx, CallList, rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)})
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	return entries, nil
}

func (c *Client) readRange(ctx context.Context, kind CallKind, r rangeRequest) ([]egretflow.StoreEntry, error) {
	var answer rangeResponse
	if err := c.call(ctx, kind, r, &answer); err != nil {
		return nil, err
	}
	entries := make([]egretflow.StoreEntry, len(answer.KVs))
	for n, kv := range answer.KVs {
		entries[n] = kv.entry()
	}
	return entries, nil
}

// Commit applies the transaction and returns its store revision.
func (c *Client) Commit(ctx context.Context, txn egretflow.StoreTxn) (int64, error) {
	for _, w := range txn.Writes {
		if len(w.Value) > egretflow.MaxStoreValueBytes {
			return 0, fmt.Errorf("commit %s: %w", w.Key, &egretflow.FieldError{
				Field:  w.Key,
				Reason: fmt.Sprintf("value of %d bytes exceeds %d", len(w.Value), egretflow.MaxStoreValueBytes),
			})
		}
	}
	var answer txnResponse
	if err := c.call(ctx, CallCommit, encodeTxn(txn), &answer); err != nil {
		return 0, fmt.Errorf("commit: %w", err)
	}
	if !answer.Succeeded {
		return 0, fmt.Errorf("commit: %w", egretflow.ErrConflict)
	}
	return answer.Header.Revision, nil
}
