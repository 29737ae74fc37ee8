package storeclient

import "sync"

// CallKind is a kind of call, by which calls are counted.
type CallKind string

// The kinds of calls, one for each method of Client that sends a request.
const (
	CallGet         CallKind = "Get"
	CallList        CallKind = "List"
	CallCommit      CallKind = "Commit"
	CallWatch       CallKind = "Watch"
	CallGrantLease  CallKind = "GrantLease"
	CallKeepLease   CallKind = "KeepLease"
	CallRevokeLease CallKind = "RevokeLease"
)

// gatewayPaths holds the path of the gateway's method for each kind of call.
var gatewayPaths = map[CallKind]string{
	CallGet:         "/v3/kv/range",
	CallList:        "/v3/kv/range",
	CallCommit:      "/v3/kv/txn",
	CallWatch:       "/v3/watch",
	CallGrantLease:  "/v3/lease/grant",
	CallKeepLease:   "/v3/lease/keepalive",
	CallRevokeLease: "/v3/lease/revoke",
}

func (k CallKind) path() string { return gatewayPaths[k] }

// isWrite reports whether the call can change the store.
func (k CallKind) isWrite() bool {
	return k != CallGet && k != CallList && k != CallWatch
}

// callCounter counts calls by kind. Its zero value is ready for use.
type callCounter struct {
	mu     sync.Mutex
	counts map[CallKind]int64
}

func (c *callCounter) add(k CallKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[CallKind]int64{}
	}
	c.counts[k]++
}

func (c *callCounter) snapshot() map[CallKind]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[CallKind]int64, len(c.counts))
	for k, n := range c.counts {
		out[k] = n
	}
	return out
}
