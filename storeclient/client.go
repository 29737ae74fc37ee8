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

// DefaultCallTimeout is the default of Config.CallTimeout. The store normally
// responds within milliseconds; in a slow period, a longer timeout would only
// delay the caller's fallback.
const DefaultCallTimeout = 2 * time.Second

// MaxResponseBytes bounds the response to one call; a longer one is cut off and
// fails to decode. It does not bound the stream of a watch.
const MaxResponseBytes = 64 << 20

// ErrCompacted is returned by Watch when the store no longer has all changes
// after the requested revision. The caller must read the keys again.
var ErrCompacted = errors.New("revision is compacted")

// Config holds the dependencies and settings of a Client.
type Config struct {
	// BaseURL is the URL of the gateway without a path, such as
	// http://10.0.0.1:2379.
	BaseURL string
	// Client sends the requests. Its Timeout must be 0, because it would also end
	// a watch.
	Client *http.Client
	Clock  egretflow.Clock
	// CallTimeout bounds every call except Watch. 0 means DefaultCallTimeout.
	CallTimeout time.Duration
}

// Client implements egretflow.Store. It is safe for concurrent use. The store names no
// eras, so that every version is of era 0.
type Client struct {
	cfg   Config
	calls callCounter
}

var _ egretflow.Store = (*Client)(nil)

// New checks cfg and returns a Client. It opens no connection.
func New(cfg Config) (*Client, error) {
	u, err := url.Parse(cfg.BaseURL)
	if err != nil {
		return nil, fmt.Errorf("parse store URL: %w", err)
	}
	if u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, &egretflow.FieldError{Field: "BaseURL", Reason: "must be an http or https URL"}
	}
	if cfg.Client == nil || cfg.Clock == nil {
		return nil, &egretflow.FieldError{Field: "HTTPClient", Reason: "client and clock are required"}
	}
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	cfg.BaseURL = strings.TrimSuffix(cfg.BaseURL, "/")
	return &Client{cfg: cfg}, nil
}

// Calls returns the number of calls sent so far, by kind.
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
	var response rangeResponse
	if err := c.call(ctx, kind, r, &response); err != nil {
		return nil, err
	}
	entries := make([]egretflow.StoreEntry, len(response.KVs))
	for n, kv := range response.KVs {
		entries[n] = kv.entry()
	}
	return entries, nil
}

// Commit applies the transaction and returns its version. It returns
// ErrConflict if a condition does not hold, and a FieldError for a value larger
// than egretflow.MaxStoreValueBytes.
func (c *Client) Commit(ctx context.Context, txn egretflow.StoreTxn) (egretflow.StoreVersion, error) {
	for _, w := range txn.Writes {
		if len(w.Value) > egretflow.MaxStoreValueBytes {
			return egretflow.StoreVersion{}, fmt.Errorf("commit %s: %w", w.Key, &egretflow.FieldError{
				Field:  w.Key,
				Reason: fmt.Sprintf("value of %d bytes exceeds %d", len(w.Value), egretflow.MaxStoreValueBytes),
			})
		}
	}
	var response txnResponse
	if err := c.call(ctx, CallCommit, encodeTxn(txn), &response); err != nil {
		return egretflow.StoreVersion{}, fmt.Errorf("commit: %w", err)
	}
	if !response.Succeeded {
		return egretflow.StoreVersion{}, fmt.Errorf("commit: %w", egretflow.ErrConflict)
	}
	return egretflow.StoreVersion{Revision: response.Header.Revision}, nil
}
