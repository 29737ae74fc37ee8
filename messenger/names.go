package messenger

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/egretflow/egretflow"
)

// Names maps server names to the short form that messages carry. It is safe
// for concurrent use.
type Names struct {
	known atomic.Pointer[map[uint32]egretflow.ServerName]
}

// NewNames returns an empty set, with which names are sent in full.
func NewNames() *Names {
	n := &Names{}
	n.Set(nil)
	return n
}

// Set replaces the known servers.
func (n *Names) Set(servers []egretflow.ServerName) {
	known := make(map[uint32]egretflow.ServerName, len(servers))
	for _, s := range servers {
		code := shortCode(s)
		if other, ok := known[code]; ok && other != s {
			s = "" // The code is ambiguous and is not used.
		}
		known[code] = s
	}
	n.known.Store(&known)
}

func shortCode(s egretflow.ServerName) uint32 { return uint32(xxhash.Sum64String(string(s))) }

// encode returns a uint32 or a string.
func (n *Names) encode(s egretflow.ServerName) any {
	if code := shortCode(s); (*n.known.Load())[code] == s {
		return code
	}
	return string(s)
}

// decode returns false for a code that names no server or several.
func (n *Names) decode(v any) (egretflow.ServerName, bool) {
	switch v := v.(type) {
	case string:
		return egretflow.ServerName(v), true
	case uint64:
		if v>>32 != 0 {
			return "", false
		}
		s := (*n.known.Load())[uint32(v)]
		return s, s != ""
	}
	return "", false
}
