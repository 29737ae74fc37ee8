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
	"github.com/egretflow/egretflow/connector"
	"github.com/egretflow/egretflow/explainer"
	"github.com/egretflow/egretflow/frontend"
	"github.com/egretflow/egretflow/messenger"
	"github.com/egretflow/egretflow/picker"
	"github.com/egretflow/egretflow/reserver"
)

// PeerSettings configures the connections between instances.
type PeerSettings struct {
	Listener net.Listener
	// Key returns the key that this instance sends, Verifier checks the keys of
	// peers.
	Key      func() string
	Verifier messenger.Verifier
	// ServerTLS and ClientTLS, if set, protect the connections from and to peers.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
}

// Config configures an Instance.
type Config struct {
	// Self describes this instance. Its address is that of Peers.Listener.
	Self egretflow.Member
	// Incarnation increases with each start of the instance.
	Incarnation uint64
	Clock       egretflow.Clock
	Rand        *rand.Rand
	// Explainer receives all events; nil means a new one that logs to Logger.
	Explainer *explainer.Explainer
	// Logger receives one line per event; nil means no log.
	Logger *logrus.Logger
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Policy picker.Policy

	Callers        frontend.Authenticator
	CallerListener net.Listener
	// CallerTLS, if set, serves callers over TLS.
	CallerTLS *tls.Config
	Limits    frontend.Limits
	// Responses bounds what responses hold in memory together; nil for no bound.
	Responses *reserver.Reserver

	Operators        frontend.Authenticator
	OperatorListener net.Listener

	// Peers is nil for an instance without peers.
	Peers *PeerSettings
	// ListURL is the URL of the platform's list of members and backend servers.
	ListURL string
	// Store holds the tables and the claims. If it is nil, Tables stays in force.
	Store  egretflow.Store
	Tables *egretflow.Tables
	// EngineCommands lets the instance take part in commanding engines, such as
	// changes of their role (8).
	EngineCommands bool
	// ServerTLS is used for connections to servers of pools with ServerTLS.
	ServerTLS *tls.Config
	// CacheEventBytesPerSecond bounds the rate at which the cache events of the
	// engines are read; 0 means the default of package cachefollower.
	CacheEventBytesPerSecond int
	// WrapScheduler and WrapClaimer, if set, wrap the scheduler and the claimer
	// that the request path uses. Tests inject faults with them.
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

// sharing returns how this instance shares servers with its peers.
func (c *Config) sharing() picker.Sharing {
	if c.Peers == nil {
		return picker.SharingNone
	}
	return picker.SharingGrants
}

// newRand returns an independent generator for one component, seeded from Rand.
func (c *Config) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(c.Rand.Uint64(), c.Rand.Uint64()))
}

// platformTimeout bounds a call to the platform or a read of a server's load
// report.
const platformTimeout = 2 * time.Second

func (c *Config) httpClient() *http.Client {
	return &http.Client{
		Transport: connector.NewTransport(&http.Transport{DialContext: c.Dial, TLSClientConfig: c.ServerTLS, IdleConnTimeout: time.Minute}),
		Timeout:   platformTimeout,
	}
}

// streamClient returns a client without a limit on the duration of a response.
func (c *Config) streamClient() *http.Client {
	return &http.Client{Transport: connector.NewTransport(&http.Transport{
		DialContext: c.Dial, TLSClientConfig: c.ServerTLS, ResponseHeaderTimeout: platformTimeout, DisableKeepAlives: true,
	})}
}

// staticTables holds the tables of an instance without a store, which never change.
type staticTables struct{ inForce egretflow.ActiveTables }

func newStaticTables(t *egretflow.Tables, now time.Time) *staticTables {
	return &staticTables{egretflow.ActiveTables{Tables: t, Confirmed: true, ConfirmedAt: now}}
}

// Current implements egretflow.TablesSource.
func (s *staticTables) Current() egretflow.ActiveTables { return s.inForce }

// Subscribe implements egretflow.TablesSource.
func (s *staticTables) Subscribe(f func(t *egretflow.Tables)) { f(s.inForce.Tables) }

// createError wraps the error of a component that could not be created.
func createError(part string, err error) error { return fmt.Errorf("create %s: %w", part, err) }
