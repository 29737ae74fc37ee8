package storeclient

import "sync"

// CallKind names a kind of call for counting.
type CallKind string

// The kinds of calls.
const (
	CallGet         CallKind = "Get"
	CallList        CallKind = "List"
	CallCommit      CallKind = "Commit"
	CallWatch       CallKind = "Watch"
	CallGrantLease  CallKind = "GrantLease"
	CallKeepLease   CallKind = "KeepLease"
	CallRevokeLease CallKind = "RevokeLease"
)

var paths = map[CallKind]string{
	CallGet:         "/v3/kv/range",
	CallList:        "/v3/kv/range",
	CallCommit:      "/v3/kv/txn",
	CallWatch:       "/v3/watch",
	CallGrantLease:  "/v3/lease/grant",
	CallKeepLease:   "/v3/lease/keepalive",
	CallRevokeLease: "/v3/lease/revoke",
}

func (k CallKind) path() string { return paths[k] }

func (k CallKind) writes() bool {
	return k != CallGet && k != CallList && k != CallWatch
}

type counter struct {
	mu sync.Mutex
	n  map[CallKind]int64
}

func (c *counter) add(k CallKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[CallKind]int64{}
	}
	c.n[k]++
}

func (c *counter) snapshot() map[CallKind]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[CallKind]int64, len(c.n))
	for k, n := range c.n {
		out[k] = n
	}
	return out
}
