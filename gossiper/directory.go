package gossiper

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/rendezvous"
)

const (
	configurationPath = "/configuration"
	serversPath       = "/servers"
	// roleTimeout is how long the first read waits for the role of this instance.
	// In an outage of the store it is not known.
	roleTimeout = 4 * time.Second
	// relayReadTimeout bounds one read from a relay, and serveTimeout the time that
	// the relay spends on it. aheadReadTimeout bounds a read that the relay and the
	// platform follow.
	relayReadTimeout = 1500 * time.Millisecond
	aheadReadTimeout = 500 * time.Millisecond
	// readHedgeDelay is how long a read waits for one member before another one is
	// asked, too.
	readHedgeDelay = 300 * time.Millisecond
	serveTimeout   = 3 * time.Second
	// maxSnapshotBytes bounds the decompressed response of a relay.
	maxSnapshotBytes = 8 << 20
)

// serversSnapshot is what a relay answers to a read of the servers.
type serversSnapshot struct {
	Entries  []egretflow.ServerEntry
	Revision int64
	// AgeMS is the time in milliseconds since the list was known to be current.
	AgeMS int64
}

// relayDirectory reads the platform through the relay, if this instance is a
// subscriber, and from Config.Source otherwise (rule 4). It implements
// egretflow.Directory.
type relayDirectory struct {
	*Gossiper
	client *http.Client
	// turns counts the calls of otherMember.
	turns atomic.Uint32
}

// Directory returns the directory for the registrar of this instance.
func (g *Gossiper) Directory() egretflow.Directory {
	transport := &http.Transport{DialContext: g.cfg.Dial, DisableKeepAlives: true, DisableCompression: true}
	return &relayDirectory{Gossiper: g, client: &http.Client{Transport: transport}}
}

// Configuration implements egretflow.Directory. A member that has confirmed a newer
// configuration than this instance has is asked first: the platform, or a relay that
// waits for it, may be silent.
func (d *relayDirectory) Configuration(ctx context.Context) (*egretflow.Configuration, error) {
	if c, ok := d.readAhead(ctx); ok {
		return c, nil
	}
	return readInOrder(ctx, d, func(ctx context.Context, from netip.AddrPort) (*egretflow.Configuration, error) {
		c := &egretflow.Configuration{}
		return c, d.read(ctx, from, configurationPath, c)
	}, d.cfg.Source.Configuration)
}

// AwaitChange implements egretflow.Directory.
func (d *relayDirectory) AwaitChange(ctx context.Context) error {
	return errors.Wrap(d.cfg.Source.AwaitChange(ctx), "watch the platform")
}

// Servers implements egretflow.Directory.
func (d *relayDirectory) Servers(ctx context.Context) (egretflow.ServerList, error) {
	return readInOrder(ctx, d, func(ctx context.Context, from netip.AddrPort) (egretflow.ServerList, error) {
		var s serversSnapshot
		if err := d.read(ctx, from, serversPath, &s); err != nil {
			return egretflow.ServerList{}, err
		}
		at := d.cfg.Clock().Add(-time.Duration(min(max(s.AgeMS, 0), maxAgeMS)) * time.Millisecond)
		return egretflow.ServerList{Entries: s.Entries, Revision: s.Revision, ConfirmedAt: at}, nil
	}, d.cfg.Source.Servers)
}

// readAhead reads the configuration from a member that is ahead of this instance. It
// returns false if there is none, or if it does not answer with a newer configuration.
func (d *relayDirectory) readAhead(ctx context.Context) (*egretflow.Configuration, bool) {
	known := d.follower.Confirmation().Version
	from, ok := d.memberAhead(known)
	if !ok {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, aheadReadTimeout)
	defer cancel()
	var c egretflow.Configuration
	if err := d.read(ctx, from, configurationPath, &c); err != nil || c.Version <= known {
		return nil, false
	}
	return &c, true
}

// memberAhead returns the address of a live member that has a newer configuration than
// the given version: the relay if it has one, or else the first in the order of reading.
func (d *relayDirectory) memberAhead(version uint64) (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ahead []egretflow.Member
	for _, m := range d.liveMembers(d.cfg.Clock()) {
		x := d.members[m.Name]
		if x == nil || x.version <= version {
			continue
		}
		if m.Name == d.relay.name {
			return m.Address, true
		}
		ahead = append(ahead, m)
	}
	if len(ahead) == 0 {
		return netip.AddrPort{}, false
	}
	return rendezvous.Rank(rankKey, ahead)[0].Address, true
}

// readInOrder reads the sources of this instance until one succeeds: a subscriber its
// relay, with another member if that is slow, and then the platform, a member the
// platform. Both turn to another member at last, because the platform may refuse single
// instances. It returns the error of the platform.
func readInOrder[T any](ctx context.Context, d *relayDirectory, fromMember func(ctx context.Context, from netip.AddrPort) (T, error), fromPlatform func(ctx context.Context) (T, error)) (T, error) {
	relay, ok := d.relayAddress(ctx)
	if ok {
		if read, err := readHedged(ctx, d, relay, fromMember); err == nil {
			return read, nil
		}
	}
	read, err := fromPlatform(ctx)
	if err == nil || errors.Is(err, egretflow.ErrNotFound) {
		return read, errors.Wrap(err, "read the platform")
	}
	if other, ok := d.otherMember(relay); ok {
		if read, err := fromMember(ctx, other); err == nil {
			return read, nil
		}
	}
	return read, errors.Wrap(err, "read the platform")
}

// readHedged reads from the relay, and from another member as well if the relay fails or
// has not answered after readHedgeDelay. It returns the first reading, or an error if both
// fail.
func readHedged[T any](ctx context.Context, d *relayDirectory, relay netip.AddrPort, fromMember func(ctx context.Context, from netip.AddrPort) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		read T
		err  error
	}
	results := make(chan result, 2)
	start := func(from netip.AddrPort) {
		go func() {
			read, err := fromMember(ctx, from)
			results <- result{read, err}
		}()
	}
	running := 1
	start(relay)
	startOther := sync.OnceFunc(func() {
		if other, ok := d.otherMember(relay); ok {
			running++
			start(other)
		}
	})
	hedge := time.NewTimer(readHedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			startOther()
		case r := <-results:
			if r.err == nil {
				return r.read, nil
			}
			startOther()
			if running--; running == 0 {
				return r.read, r.err
			}
		}
	}
}

// otherMember returns the address of a live member, except this instance and the one
// at the given address. Each call returns the next one, because the platform may
// refuse some members too, so that they have old readings.
func (d *relayDirectory) otherMember(except netip.AddrPort) (netip.AddrPort, bool) {
	others := slices.DeleteFunc(rendezvous.Rank(rankKey, d.Members()), func(m egretflow.Member) bool {
		return m.Name == d.cfg.Self.Name || m.Address == except
	})
	if len(others) == 0 {
		return netip.AddrPort{}, false
	}
	return others[int(d.turns.Add(1))%len(others)].Address, true
}

// relayAddress returns the address of the relay, or false if this instance reads the
// platform itself. It waits until the role of this instance is known.
func (d *relayDirectory) relayAddress(ctx context.Context) (netip.AddrPort, bool) {
	timer := time.NewTimer(roleTimeout)
	defer timer.Stop()
	select {
	case <-d.roleKnown:
	case <-timer.C:
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.role != roleSubscriber || d.isolated() {
		return netip.AddrPort{}, false
	}
	d.chooseRelay(d.cfg.Clock())
	m, ok := d.members[d.relay.name]
	if !ok {
		return netip.AddrPort{}, false
	}
	return m.Address, true
}

// read reads a snapshot of a relay.
func (d *relayDirectory) read(ctx context.Context, relay netip.AddrPort, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, relayReadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+relay.String()+path, nil)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return fmt.Errorf("read relay: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("read relay: status %d: %w", resp.StatusCode, egretflow.ErrUnavailable)
	}
	body, err := gzip.NewReader(resp.Body)
	if err != nil {
		return fmt.Errorf("read relay: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(body, maxSnapshotBytes)).Decode(into); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	return nil
}

// snapshots serves the reads of subscribers. A configuration is encoded once.
type snapshots struct {
	*Gossiper
	mu      sync.Mutex
	version uint64
	encoded []byte
}

// serveReads serves subscribers until ctx ends.
func (g *Gossiper) serveReads(ctx context.Context) {
	if g.cfg.Listener == nil {
		return
	}
	s := &snapshots{Gossiper: g}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configurationPath, s.serveConfiguration)
	mux.HandleFunc("GET "+serversPath, s.serveServers)
	server := &http.Server{Handler: mux, ReadTimeout: serveTimeout, WriteTimeout: serveTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(g.cfg.Listener); err != nil && ctx.Err() == nil {
		g.record(egretflow.EventRegistrationFailed, "Error", err.Error())
	}
}

func (s *snapshots) serveConfiguration(w http.ResponseWriter, _ *http.Request) {
	c, _ := s.follower.Snapshot()
	if c == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := s.encodedConfiguration(c)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}

// encodedConfiguration returns the compressed encoding of c.
func (s *snapshots) encodedConfiguration(c *egretflow.Configuration) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.encoded != nil && s.version == c.Version {
		return s.encoded, nil
	}
	data, err := compress(c)
	if err != nil {
		return nil, err
	}
	s.version, s.encoded = c.Version, data
	return data, nil
}

func (s *snapshots) serveServers(w http.ResponseWriter, _ *http.Request) {
	_, list := s.follower.Snapshot()
	if list.ConfirmedAt.IsZero() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	age := s.cfg.Clock().Sub(list.ConfirmedAt).Milliseconds()
	data, err := compress(serversSnapshot{Entries: list.Entries, Revision: list.Revision, AgeMS: age})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}
