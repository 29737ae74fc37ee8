package assembler

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/explainer"
	"github.com/egretflow/egretflow/frontend"
	"github.com/egretflow/egretflow/messenger"
	"github.com/egretflow/egretflow/picker"
)

// PeerSettings are the settings of the messages between instances.
type PeerSettings struct {
	Listener net.Listener
	// Key returns the key of this instance, Verifier checks those of peers.
	Key      func() string
	Verifier messenger.Verifier
	// ServerTLS and ClientTLS, if set, protect the connections.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
}

// Config is what an instance is built from.
type Config struct {
	// Self is the own member. Its address is that of Peers.Listener.
	Self egretflow.Member
	// Incarnation grows with each start of the instance.
	Incarnation uint64
	Clock       egretflow.Clock
	Rand        *rand.Rand
	// Explainer gets all events; by default one that logs to Logger.
	Explainer *explainer.Explainer
	// Logger gets one line per event; nil writes none.
	Logger *logrus.Logger
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Policy picker.Policy

	Callers        frontend.Identifier
	CallerListener net.Listener
	// CallerTLS, if set, serves callers over TLS.
	CallerTLS *tls.Config
	Limits    frontend.Limits

	Operators        frontend.Identifier
	OperatorListener net.Listener

	// Peers may be nil for a single instance.
	Peers *PeerSettings
	// ListURL is the platform's list of members and backend servers.
	ListURL string
	// Store holds tables and claims; Tables is used if it is nil.
	Store  egretflow.Store
	Tables *egretflow.Tables
	// EngineCommands lets the instance take part in commanding engines, such as
	// changes of their role (8).
	EngineCommands bool
	// ServerTLS is used towards servers of pools with ServerTLS.
	ServerTLS *tls.Config
	// CacheEventBytesPerSecond bounds what is read of the engines' cache events;
	// 0 means the default of package cachefollower.
	CacheEventBytesPerSecond int
	// WrapScheduler and WrapClaimer, if set, replace what the request path uses
	// of the scheduler and the claimer. Tests plant faults with them.
	WrapScheduler func(egretflow.Scheduler) egretflow.Scheduler
	WrapClaimer   func(egretflow.Claimer) egretflow.Claimer
}

func (c *Config) check() error {
	return egretflow.CheckRequired([]egretflow.RequiredField{
		{Name: "Self.Name", Missing: c.Self.Name == ""},
		{Name: "Clock", Missing: c.Clock == nil},
		{Name: "Rand", Missing: c.Rand == nil},
		{Name: "Dial", Missing: c.Dial == nil},
		{Name: "Callers", Missing: c.Callers == nil},
		{Name: "CallerListener", Missing: c.CallerListener == nil},
		{Name: "Store or Tables", Missing: c.Store == nil && c.Tables == nil},
		{Name: "ListURL", Missing: c.Peers != nil && c.ListURL == ""},
		{Name: "Store", Missing: c.Peers != nil && c.Store == nil},
	})
}

// sharing says how servers are shared with the peers.
func (c *Config) sharing() picker.Sharing {
	if c.Peers == nil {
		return picker.SharingNone
	}
	return picker.SharingGrants
}

// newRand derives an independent generator for a part of the instance.
func (c *Config) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(c.Rand.Uint64(), c.Rand.Uint64()))
}

// platformTimeout bounds a call to the platform or the load report of a server.
const platformTimeout = 2 * time.Second

func (c *Config) httpClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{DialContext: c.Dial, TLSClientConfig: c.ServerTLS, IdleConnTimeout: time.Minute},
		Timeout:   platformTimeout,
	}
}

// streamClient returns a client whose responses may go on without end.
func (c *Config) streamClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: c.Dial, TLSClientConfig: c.ServerTLS, ResponseHeaderTimeout: platformTimeout, DisableKeepAlives: true,
	}}
}

// staticTables holds tables that never change.
type staticTables struct{ inForce egretflow.TablesInForce }

func newStaticTables(t *egretflow.Tables, now time.Time) *staticTables {
	return &staticTables{egretflow.TablesInForce{Tables: t, Confirmed: true, ConfirmedAt: now}}
}

// Current implements egretflow.TablesHolder.
func (s *staticTables) Current() egretflow.TablesInForce { return s.inForce }

// Subscribe implements egretflow.TablesHolder.
func (s *staticTables) Subscribe(f func(t *egretflow.Tables)) { f(s.inForce.Tables) }

func wrapPart(part string, err error) error { return fmt.Errorf("create %s: %w", part, err) }
