package egretflow

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Revision numbers the accepted versions of the tables. It only increases
// (6.2).
type Revision uint64

// BlockTokens is the number of tokens that one block of engine memory holds.
const BlockTokens = 16

// Duration is a time.Duration that tables write in Go syntax, such as "1.1s".
// Tables hold targets and budgets; state and messages hold deadlines.
type Duration time.Duration

// MarshalText writes d in Go syntax.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a non-negative duration in Go syntax.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	if v < 0 {
		return fmt.Errorf("duration %q is negative", string(text))
	}
	*d = Duration(v)
	return nil
}

// Route determines which requests of which callers go to which pool, and how
// important they are.
type Route struct {
	Name RouteName
	// Callers may use the route. "*" stands for every known caller.
	Callers []CallerName
	// Models are the models that a model route serves.
	Models []ModelName `json:",omitempty"`
	// Methods and PathPrefix select requests of a service route.
	Methods    []string `json:",omitempty"`
	PathPrefix string   `json:",omitempty"`
	// Host selects the requests of a forwarded route; empty for other routes.
	Host string `json:",omitempty"`
	// Public reports whether requests of the route need no key of an organisation.
	Public bool `json:",omitempty"`
	// Pool serves the route. If Shares is set, it divides the requests among
	// several pools instead.
	Pool       PoolName
	Shares     []PoolShare `json:",omitempty"`
	Importance Importance
	// Idempotent reports whether a request may run more than once. Model routes are
	// idempotent; a service route that is not needs an Idempotency-Key (7.1).
	Idempotent bool
	// FirstTokenTarget is the target for the time to the first token or
	// response byte.
	FirstTokenTarget Duration
	// TokenTarget is the target for the mean time between tokens of a model
	// route.
	TokenTarget Duration `json:",omitempty"`
	// RetryPercent and HedgePercent bound the extra attempts per 100 requests.
	RetryPercent int `json:",omitempty"`
	HedgePercent int `json:",omitempty"`
	// Timeout bounds the duration of a request; 0 means the limit of the
	// instance.
	Timeout Duration `json:",omitempty"`
	// Patience is how long callers wait for a first token before they give up;
	// 0 means FirstTokenTarget.
	Patience Duration `json:",omitempty"`
	// MaxAttempts bounds the number of servers that may run one request; 0
	// means the default of package relayer.
	MaxAttempts int `json:",omitempty"`
	// Resumable reports whether a stream may be continued on another server.
	Resumable bool `json:",omitempty"`
	// EventGapTarget is the target for the pause between two events of a
	// stream.
	EventGapTarget Duration `json:",omitempty"`
	// MaxStreams bounds the open streams of one caller at one instance; 0 means
	// the default of the instance.
	MaxStreams int `json:",omitempty"`
}

// Allows reports whether caller may use the route.
func (r *Route) Allows(caller CallerName) bool {
	return slices.Contains(r.Callers, caller) || slices.Contains(r.Callers, "*")
}

// PoolShare assigns a part of the requests of a route to a pool, in proportion
// to Weight.
type PoolShare struct {
	Pool   PoolName
	Weight int
}

// PoolOf returns the pool that serves the request whose id has the given hash.
// Without a positive weight it returns r.Pool.
func (r *Route) PoolOf(hash uint64) PoolName {
	total := 0
	for _, s := range r.Shares {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return r.Pool
	}
	position := int(hash % uint64(total))
	for _, s := range r.Shares {
		if position -= max(0, s.Weight); position < 0 {
			return s.Pool
		}
	}
	return r.Pool
}

// Server is a backend server, as the tables describe it.
type Server struct {
	Name          ServerName
	Address       netip.AddrPort
	FailureDomain FailureDomain
	Role          Role
	// Slots is the number of requests that the server runs at a time.
	Slots int
	// Blocks is the engine memory in blocks of BlockTokens tokens.
	Blocks int `json:",omitempty"`
	// PrefillTokensPerSecond is the nominal prefill rate of a prefill server.
	PrefillTokensPerSecond int `json:",omitempty"`
	// LinkBytesPerSecond is the nominal rate of the KV transfer link.
	LinkBytesPerSecond int64 `json:",omitempty"`
	// ChecksFencing reports whether the engine refuses orders with an old fencing
	// number (8.2).
	ChecksFencing bool `json:",omitempty"`
	// Drain is true if the server must get no new work (9.2).
	Drain bool `json:",omitempty"`
	// StartedAt distinguishes processes of the server that ran one after the
	// other; zero if unknown.
	StartedAt time.Time `json:",omitzero"`
}

// Pool is a named group of backend servers.
type Pool struct {
	Name PoolName
	Kind PoolKind
	// Model is the name by which the engines of a model pool know their model.
	Model ModelName `json:",omitempty"`
	// KVBytesPerToken is the size in bytes of the KV cache of one prompt token.
	KVBytesPerToken int64 `json:",omitempty"`
	// TokenGap is the nominal time between two tokens of a decode server; 0 if
	// unknown.
	TokenGap Duration `json:",omitempty"`
	// Blocks and LinkBytesPerSecond apply to servers that state none.
	Blocks             int   `json:",omitempty"`
	LinkBytesPerSecond int64 `json:",omitempty"`
	// EventTokens is the number of tokens in one event of a stream; 0 if
	// unknown.
	EventTokens int `json:",omitempty"`
	// HoldTTL is how long an engine holds memory for a request that has not
	// arrived yet; 0 if the engines cannot hold memory.
	HoldTTL Duration `json:",omitempty"`
	// ServerTLS reports whether connections to the servers of the pool use TLS.
	ServerTLS bool `json:",omitempty"`
	Servers   []Server
}

// Tables are the routes, pools and organisations that operators edit, at one revision.
type Tables struct {
	Revision Revision
	// EditID identifies the edit that produced the revision. It shows whether
	// an edit took effect when the response of the store was lost (6.3).
	EditID string `json:",omitempty"`
	Routes []Route
	Pools  []Pool
	// Organisations are the callers that requests are identified with by their keys.
	// Without any, the tables identify no caller.
	Organisations []Organisation `json:",omitempty"`
}

// UnmarshalJSON rejects unknown fields and checks the result.
func (t *Tables) UnmarshalJSON(data []byte) error {
	type plain Tables
	var p plain
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return fmt.Errorf("decode tables: %w", err)
	}
	checked := Tables(p)
	if err := checked.Check(); err != nil {
		return fmt.Errorf("check tables: %w", err)
	}
	*t = checked
	return nil
}

// Check returns a *FieldError for the first invalid field.
func (t *Tables) Check() error {
	pools := make(map[PoolName]*Pool, len(t.Pools))
	servers := make(map[ServerName]string)
	for n := range t.Pools {
		field := fmt.Sprintf("Pools[%d]", n)
		pool := &t.Pools[n]
		if _, ok := pools[pool.Name]; ok {
			return &FieldError{field + ".Name", fmt.Sprintf("pool %q is defined twice", pool.Name)}
		}
		pools[pool.Name] = pool
		if err := pool.check(field, servers); err != nil {
			return err
		}
	}
	routes := make(map[RouteName]bool, len(t.Routes))
	for n := range t.Routes {
		field := fmt.Sprintf("Routes[%d]", n)
		route := &t.Routes[n]
		if routes[route.Name] {
			return &FieldError{field + ".Name", fmt.Sprintf("route %q is defined twice", route.Name)}
		}
		routes[route.Name] = true
		if err := route.check(field, pools); err != nil {
			return err
		}
	}
	return CheckOrganisations(t.Organisations)
}

func (p *Pool) check(field string, servers map[ServerName]string) error {
	if err := CheckName(field+".Name", string(p.Name)); err != nil {
		return err
	}
	switch {
	case p.Kind != PoolKindModel && p.Kind != PoolKindService:
		return &FieldError{field + ".Kind", "must be Model or Service"}
	case p.Kind == PoolKindModel && p.Model == "":
		return &FieldError{field + ".Model", "a model pool needs a model"}
	case len(p.Servers) == 0:
		return &FieldError{field + ".Servers", "a pool needs at least one server"}
	case p.KVBytesPerToken < 0:
		return &FieldError{field + ".KVBytesPerToken", "must not be negative"}
	}
	roles := map[Role]int{}
	for n := range p.Servers {
		s := &p.Servers[n]
		serverField := fmt.Sprintf("%s.Servers[%d]", field, n)
		if other, ok := servers[s.Name]; ok {
			return &FieldError{serverField + ".Name", fmt.Sprintf("server %q is already defined at %s", s.Name, other)}
		}
		servers[s.Name] = serverField
		if err := s.check(serverField, p.Kind); err != nil {
			return err
		}
		roles[s.Role]++
	}
	if p.Kind == PoolKindModel && (roles[RolePrefill] == 0 || roles[RoleDecode] == 0) {
		return &FieldError{field + ".Servers", "a model pool needs a Prefill and a Decode server"}
	}
	return nil
}

func (s *Server) check(field string, kind PoolKind) error {
	if err := CheckName(field+".Name", string(s.Name)); err != nil {
		return err
	}
	if err := CheckName(field+".FailureDomain", string(s.FailureDomain)); err != nil {
		return err
	}
	switch {
	case !s.Address.IsValid() || s.Address.Port() == 0:
		return &FieldError{field + ".Address", "must be an IP address and a port"}
	case s.Slots < 1:
		return &FieldError{field + ".Slots", "must be at least 1"}
	case kind == PoolKindService && s.Role != RoleService:
		return &FieldError{field + ".Role", "must be Service in a service pool"}
	case kind == PoolKindModel && s.Role != RolePrefill && s.Role != RoleDecode:
		return &FieldError{field + ".Role", "must be Prefill or Decode in a model pool"}
	case kind == PoolKindModel && s.Blocks < 1:
		return &FieldError{field + ".Blocks", "must be at least 1 in a model pool"}
	case s.PrefillTokensPerSecond < 0:
		return &FieldError{field + ".PrefillTokensPerSecond", "must not be negative"}
	case s.LinkBytesPerSecond < 0:
		return &FieldError{field + ".LinkBytesPerSecond", "must not be negative"}
	}
	return nil
}

func (r *Route) check(field string, pools map[PoolName]*Pool) error {
	if err := CheckName(field+".Name", string(r.Name)); err != nil {
		return err
	}
	pool, ok := pools[r.Pool]
	switch {
	case !ok:
		return &FieldError{field + ".Pool", fmt.Sprintf("pool %q does not exist", r.Pool)}
	case len(r.Callers) == 0:
		return &FieldError{field + ".Callers", "a route needs at least one caller"}
	case !slices.Contains(Importances, r.Importance):
		return &FieldError{field + ".Importance", "must be Critical, High, Normal or Low"}
	case r.FirstTokenTarget <= 0:
		return &FieldError{field + ".FirstTokenTarget", "must be positive"}
	case pool.Kind == PoolKindModel && len(r.Models) == 0:
		return &FieldError{field + ".Models", "a route to a model pool needs a model"}
	case pool.Kind == PoolKindModel && !r.Idempotent:
		return &FieldError{field + ".Idempotent", "a route to a model pool is idempotent"}
	case pool.Kind == PoolKindService && !strings.HasPrefix(r.PathPrefix, "/"):
		return &FieldError{field + ".PathPrefix", "must start with / on a route to a service pool"}
	case r.RetryPercent < 0 || r.RetryPercent > 100:
		return &FieldError{field + ".RetryPercent", "must be 0 to 100"}
	case r.HedgePercent < 0 || r.HedgePercent > 100:
		return &FieldError{field + ".HedgePercent", "must be 0 to 100"}
	case r.MaxStreams < 0:
		return &FieldError{field + ".MaxStreams", "must not be negative"}
	}
	for n, c := range r.Callers {
		if c == "*" {
			continue
		}
		if err := CheckName(fmt.Sprintf("%s.Callers[%d]", field, n), string(c)); err != nil {
			return err
		}
	}
	return nil
}

// Pool returns the pool with the given name.
func (t *Tables) Pool(name PoolName) (*Pool, bool) {
	for n := range t.Pools {
		if t.Pools[n].Name == name {
			return &t.Pools[n], true
		}
	}
	return nil, false
}

// RouteForModel returns the route through which caller reaches model. The error
// wraps ErrNotFound if no route serves the model, and ErrForbidden if routes
// serve it, but none of them is open to the caller (4.1).
func (t *Tables) RouteForModel(caller CallerName, model ModelName) (*Route, error) {
	err := ErrNotFound
	for n := range t.Routes {
		r := &t.Routes[n]
		if !slices.Contains(r.Models, model) {
			continue
		}
		if r.Allows(caller) {
			return r, nil
		}
		err = ErrForbidden
	}
	return nil, fmt.Errorf("route for model %q: %w", model, err)
}

// RouteForPath returns the service route with the longest matching path prefix
// that caller may use. Errors are the same as of RouteForModel.
func (t *Tables) RouteForPath(caller CallerName, method, path string) (*Route, error) {
	err := ErrNotFound
	var best *Route
	for n := range t.Routes {
		r := &t.Routes[n]
		if !r.matchesPath(method, path) {
			continue
		}
		if !r.Allows(caller) {
			err = ErrForbidden
			continue
		}
		if best == nil || len(r.PathPrefix) > len(best.PathPrefix) {
			best = r
		}
	}
	if best == nil {
		return nil, fmt.Errorf("route for %s %s: %w", method, path, err)
	}
	return best, nil
}

// RouteForHost returns the forwarded route of host with the longest path prefix
// that path begins with. The error wraps ErrNotFound if there is none.
func (t *Tables) RouteForHost(host, path string) (*Route, error) {
	var best *Route
	for n := range t.Routes {
		r := &t.Routes[n]
		if r.Host == host && strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	if best == nil {
		return nil, fmt.Errorf("route for %s%s: %w", host, path, ErrNotFound)
	}
	return best, nil
}

func (r *Route) matchesPath(method, path string) bool {
	if r.PathPrefix == "" || !strings.HasPrefix(path, r.PathPrefix) {
		return false
	}
	rest := path[len(r.PathPrefix):]
	if rest != "" && !strings.HasSuffix(r.PathPrefix, "/") && rest[0] != '/' {
		return false
	}
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}
