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
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/configwatcher"
	"github.com/egretflow/egretflow/connector"
	"github.com/egretflow/egretflow/internal/rendezvous"
)

const (
	configurationPath = "/configuration"
	serversPath       = "/servers"
	// headerConfirmedAge is the time in milliseconds since the configuration of a response
	// was known to be the newest one, by the instance in headerConfirmedBy.
	headerConfirmedAge = "Confirmed-Age-Ms"
	headerConfirmedBy  = "Confirmed-By"
	// headerOrganisations is set if a configuration has the organisations of its version.
	// Earlier versions of the program leave them out, and the receiver would serve
	// requests without a key.
	headerOrganisations = "Organisations"
	valueIncluded       = "Included"
	// roleTimeout is how long the first read waits for the role of this instance.
	// In an outage of the store it is not known.
	roleTimeout = 4 * time.Second
	// relayReadTimeout bounds one read from another instance, and serveTimeout the time
	// that the other one spends on it.
	// aheadReadTimeout bounds a read from instances that have a newer configuration, which
	// the relay and the platform follow.
	relayReadTimeout = 1500 * time.Millisecond
	aheadReadTimeout = 500 * time.Millisecond
	serveTimeout     = 3 * time.Second
	// readHedgeDelay is how long a read waits for one instance before the next one is
	// asked, too, and maxHedges the number of instances that are asked at most.
	readHedgeDelay = 200 * time.Millisecond
	maxHedges      = 3
	// maxSnapshotBytes bounds the decompressed response of a relay.
	maxSnapshotBytes = 8 << 20
)

// errWithoutOrganisations means that an earlier version of the program has decoded a
// configuration, so that its organisations and public routes are missing.
var errWithoutOrganisations = errors.New("configuration without organisations")

// errEarlierEra means that an instance has a list of an earlier era of the store, or is of
// an earlier version of the program, which knows no eras.
var errEarlierEra = errors.New("list of an earlier era")

// serversSnapshot is what a relay answers to a read of the servers.
type serversSnapshot struct {
	Entries []egretflow.ServerEntry
	egretflow.StoreVersion
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
	transport := connector.NewTransport(&http.Transport{DialContext: g.cfg.Dial, DisableKeepAlives: true, DisableCompression: true})
	return &relayDirectory{Gossiper: g, client: &http.Client{Transport: transport}}
}

// Configuration implements egretflow.Directory. Instances that have a newer configuration
// than this one are asked first: the platform, or a relay that waits for it, may be silent.
func (d *relayDirectory) Configuration(ctx context.Context) (*egretflow.Configuration, error) {
	known := d.follower.Confirmation().Configuration
	if ahead := d.instancesAhead(known.Version); len(ahead) > 0 {
		if c, ok := d.readAhead(ctx, ahead); ok && c.Version > known.Version {
			return c, nil
		}
	}
	stale := known.Version > 0 && !known.Behind() && d.cfg.Clock().Sub(known.ConfirmedAt) >= configwatcher.StaleAfter
	return readInOrder(ctx, d, !stale, d.readConfiguration, d.cfg.Source.Configuration)
}

// readAhead reads the configuration from one of several instances.
func (d *relayDirectory) readAhead(ctx context.Context, from []netip.AddrPort) (*egretflow.Configuration, bool) {
	ctx, cancel := context.WithTimeout(ctx, aheadReadTimeout)
	defer cancel()
	c, err := readHedged(ctx, from, d.readConfiguration)
	return c, err == nil
}

// readConfiguration reads the configuration of another instance.
func (d *relayDirectory) readConfiguration(ctx context.Context, from netip.AddrPort) (*egretflow.Configuration, error) {
	c := &egretflow.Configuration{}
	header, err := d.read(ctx, from, configurationPath, c)
	if err != nil {
		return nil, err
	}
	if header.Get(headerOrganisations) != valueIncluded {
		return nil, fmt.Errorf("read %s: %w", from, errWithoutOrganisations)
	}
	state := configurationState{AgeMS: -1, By: egretflow.InstanceName(header.Get(headerConfirmedBy))}
	if age, err := strconv.ParseInt(header.Get(headerConfirmedAge), 10, 64); err == nil {
		state.AgeMS = min(age, maxAgeMS)
	}
	confirmed := state.state(d.cfg.Clock())
	c.ConfirmedAt, c.ConfirmedBy = confirmed.ConfirmedAt, confirmed.ConfirmedBy
	return c, nil
}

// AwaitChange implements egretflow.Directory.
func (d *relayDirectory) AwaitChange(ctx context.Context) (egretflow.WatchResult, error) {
	result, err := d.cfg.Source.AwaitChange(ctx)
	d.noteStoreCall(ctx, err)
	return result, errors.Wrap(err, "watch the platform")
}

// Servers implements egretflow.Directory. A subscriber whose list nobody confirms reads the
// store if that has answered its reads of the configuration: it may refuse all members.
func (d *relayDirectory) Servers(ctx context.Context) (egretflow.ServerList, error) {
	known := d.follower.Confirmation()
	stale := !known.ConfirmedAt.IsZero() && d.cfg.Clock().Sub(known.ConfirmedAt) >= memberTimeout
	return readInOrder(ctx, d, !stale || !d.storeAnswers(), func(ctx context.Context, from netip.AddrPort) (egretflow.ServerList, error) {
		var s serversSnapshot
		if _, err := d.read(ctx, from, serversPath, &s); err != nil {
			return egretflow.ServerList{}, err
		}
		if s.Era < known.Version.Era {
			return egretflow.ServerList{}, fmt.Errorf("read %s: list of era %d: %w", from, s.Era, errEarlierEra)
		}
		at := d.cfg.Clock().Add(-time.Duration(min(max(s.AgeMS, 0), maxAgeMS)) * time.Millisecond)
		return egretflow.ServerList{Entries: s.Entries, Version: s.StoreVersion, ConfirmedAt: at}, nil
	}, d.cfg.Source.Servers)
}

// instancesAhead returns the addresses of a few live instances that have a newer
// configuration than the given version: the relay first if it is one of them, then
// other members, then subscribers.
func (d *relayDirectory) instancesAhead(version uint64) []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ahead []netip.AddrPort
	for _, m := range d.readers(d.cfg.Clock()) {
		x := d.members[m.Name]
		switch {
		case x == nil || x.version <= version:
		case m.Name == d.relay.name:
			ahead = slices.Insert(ahead, 0, m.Address)
		default:
			ahead = append(ahead, m.Address)
		}
	}
	for _, s := range d.subscribers {
		if s.version > version {
			ahead = append(ahead, s.address)
		}
	}
	return ahead[:min(len(ahead), maxHedges)]
}

// readInOrder reads the sources of this instance until one succeeds: a subscriber its
// relay, with another member if that is slow, and then the platform, a member the
// platform. Both turn to another member at last, because the platform may refuse single
// instances; one that knows that it is refused asks the other member first. It returns the
// error of the platform. Without useRelay, a subscriber starts with the platform.
func readInOrder[T any](ctx context.Context, d *relayDirectory, useRelay bool, fromMember func(ctx context.Context, from netip.AddrPort) (T, error), fromPlatform func(ctx context.Context) (T, error)) (T, error) {
	relay, ok := d.relayAddress(ctx)
	if ok && useRelay {
		sources := []netip.AddrPort{relay}
		if other, ok := d.otherMember(relay); ok {
			sources = append(sources, other)
		}
		if read, err := readHedged(ctx, sources, fromMember); err == nil {
			return read, nil
		}
	}
	other, hasOther := d.otherMember(relay)
	if hasOther && d.refusedAlone() {
		hasOther = false
		if read, err := fromMember(ctx, other); err == nil {
			return read, nil
		}
	}
	read, err := fromPlatform(ctx)
	d.noteStoreCall(ctx, err)
	if err == nil || errors.Is(err, egretflow.ErrNotFound) || !hasOther {
		return read, errors.Wrap(err, "read the platform")
	}
	if read, err := fromMember(ctx, other); err == nil {
		return read, nil
	}
	return read, errors.Wrap(err, "read the platform")
}

// readHedged reads from the first instance, and from the next one as well whenever one
// fails or none has answered for readHedgeDelay. It returns the first reading, or the last
// error if all fail.
func readHedged[T any](ctx context.Context, from []netip.AddrPort, read func(ctx context.Context, from netip.AddrPort) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		read T
		err  error
	}
	results := make(chan result, len(from))
	started := 0
	startNext := func() {
		if started == len(from) {
			return
		}
		source := from[started]
		started++
		go func() {
			read, err := read(ctx, source)
			results <- result{read, err}
		}()
	}
	startNext()
	hedge := time.NewTicker(readHedgeDelay)
	defer hedge.Stop()
	for failed := 0; ; {
		select {
		case <-hedge.C:
			startNext()
		case r := <-results:
			if r.err == nil {
				return r.read, nil
			}
			startNext()
			if failed++; failed == started {
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

// read reads a snapshot of another instance and returns the header of the response.
func (d *relayDirectory) read(ctx context.Context, from netip.AddrPort, path string, into any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, relayReadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+path, nil)
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", from, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read %s: status %d: %w", from, resp.StatusCode, egretflow.ErrUnavailable)
	}
	body, err := gzip.NewReader(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", from, err)
	}
	if err := json.NewDecoder(io.LimitReader(body, maxSnapshotBytes)).Decode(into); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	return resp.Header, nil
}

// snapshots serves the reads of other instances. A configuration is encoded once.
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
	w.Header().Set(headerOrganisations, valueIncluded)
	known := s.follower.Confirmation().Configuration
	if state := toConfigurationState(c.Version, known.ConfirmedAt, known.ConfirmedBy, s.cfg.Clock()); state.AgeMS >= 0 {
		w.Header().Set(headerConfirmedAge, strconv.FormatInt(state.AgeMS, 10))
		w.Header().Set(headerConfirmedBy, string(state.By))
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
	data, err := compress(serversSnapshot{Entries: list.Entries, StoreVersion: list.Version, AgeMS: age})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}
