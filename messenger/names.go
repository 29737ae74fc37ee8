package messenger

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/egretflow/egretflow"
)

// ServerNameCodec maps server names to the codes that Exchange messages carry
// instead of them, and back (rule 3). It is safe for concurrent use.
type ServerNameCodec struct {
	serversByCode atomic.Pointer[map[uint32]egretflow.ServerName]
}

// NewServerNameCodec returns a ServerNameCodec without servers. Until
// SetServers is called, names are sent in full.
func NewServerNameCodec() *ServerNameCodec {
	n := &ServerNameCodec{}
	n.SetServers(nil)
	return n
}

// SetServers replaces the known servers. Call it whenever the tables change.
func (n *ServerNameCodec) SetServers(servers []egretflow.ServerName) {
	serversByCode := make(map[uint32]egretflow.ServerName, len(servers))
	for _, s := range servers {
		code := shortCode(s)
		if other, ok := serversByCode[code]; ok && other != s {
			s = "" // The code is ambiguous and is not used.
		}
		serversByCode[code] = s
	}
	n.serversByCode.Store(&serversByCode)
}

func shortCode(s egretflow.ServerName) uint32 { return uint32(xxhash.Sum64String(string(s))) }

// encode returns the code of a server as a uint32, or its name as a string if the
// server is not known or shares its code with another one.
func (n *ServerNameCodec) encode(s egretflow.ServerName) any {
	if code := shortCode(s); (*n.serversByCode.Load())[code] == s {
		return code
	}
	return string(s)
}

// decode returns the name for a string or for a code, which the CBOR decoder
// returns as a uint64. It returns false for a code of no known server or of more
// than one.
func (n *ServerNameCodec) decode(v any) (egretflow.ServerName, bool) {
	switch v := v.(type) {
	case string:
		return egretflow.ServerName(v), true
	case uint64:
		if v>>32 != 0 {
			return "", false
		}
		s := (*n.serversByCode.Load())[uint32(v)]
		return s, s != ""
	}
	return "", false
}
