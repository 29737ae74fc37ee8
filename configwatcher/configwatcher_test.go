package configwatcher_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/configwatcher"
)

const (
	// silentTime is how long a call waits for a store that is silent.
	silentTime = 1400 * time.Millisecond
	// changeBound is the time in which an instance must apply a version that a peer has reported.
	changeBound = 500 * time.Millisecond
)

// source is a platform whose answers a test sets.
type source struct {
	mu      sync.Mutex
	version uint64
	// by is the instance that answers reads; empty for the platform.
	by egretflow.InstanceName
	// silent makes reads of the known version and all watches wait for silentTime.
	silent bool
	reads  int
}

func (s *source) set(change func(s *source)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *source) Configuration(context.Context) (*egretflow.Configuration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	c := &egretflow.Configuration{Version: s.version, ConfirmedBy: s.by}
	if s.by != "" {
		c.ConfirmedAt = time.Now()
	}
	return c, nil
}

func (s *source) AwaitChange(ctx context.Context) (egretflow.WatchResult, error) {
	s.mu.Lock()
	wait, silent := time.Second, s.silent
	s.mu.Unlock()
	if silent {
		wait = silentTime
	}
	startedAt := time.Now()
	select {
	case <-ctx.Done():
		return egretflow.WatchResult{}, egretflow.ErrUnavailable
	case <-time.After(wait):
	}
	if silent {
		return egretflow.WatchResult{}, egretflow.ErrUnavailable
	}
	return egretflow.WatchResult{ConfirmedAt: startedAt.Add(wait)}, nil
}

func (s *source) Servers(context.Context) (egretflow.ServerList, error) {
	return egretflow.ServerList{}, egretflow.ErrUnavailable
}

type discard struct{}

func (discard) Record(egretflow.Event) {}

// world is a Watcher with its source, and the versions that it has applied.
type world struct {
	*configwatcher.Watcher
	source  *source
	mu      sync.Mutex
	inForce []uint64
}

func (x *world) applied() []uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.inForce
}

// run runs f with a Watcher that watches or only waits for its peers.
func run(t *testing.T, watches bool, f func(x *world)) {
	synctest.Test(t, func(t *testing.T) {
		x := &world{source: &source{version: 3}}
		x.Watcher = configwatcher.New(configwatcher.Config{
			Instance: "self", Source: x.source, Clock: time.Now, Recorder: discard{},
			Apply: func(c *egretflow.Configuration) {
				x.mu.Lock()
				defer x.mu.Unlock()
				x.inForce = append(x.inForce, c.Version)
			},
			Rank: func() int { return 1 }, Watches: func() bool { return watches }, Relayed: func() bool { return false },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			x.Run(ctx)
		}()
		time.Sleep(100 * time.Millisecond)
		f(x)
		cancel()
		<-done
	})
}

func (x *world) observe(version uint64, confirmedAt time.Time) {
	x.Observe("peer", egretflow.ConfigurationState{Version: version, ConfirmedAt: confirmedAt, ConfirmedBy: "peer"})
}

// Guards against an instance that goes on waiting for a silent store although a peer has
// reported a newer version.
func TestNewsEndsSilentWatch(t *testing.T) {
	run(t, true, func(x *world) {
		x.source.set(func(s *source) { s.silent, s.version, s.by = true, 4, "peer" })
		time.Sleep(1100 * time.Millisecond)
		x.observe(4, time.Now())
		time.Sleep(changeBound)
		if got := x.State().Version; got != 4 {
			t.Errorf("version %d in force %v after a peer has reported 4", got, changeBound)
		}
	})
}

// Guards against an older version that comes back, from the platform or from a peer, and
// against one that is taken for the newest although a newer one is known.
func TestOlderVersionIsNeverApplied(t *testing.T) {
	run(t, false, func(x *world) {
		for _, step := range []struct {
			answer uint64
			by     egretflow.InstanceName
			told   uint64
			want   uint64
			behind bool
		}{
			{2, "peer", 0, 3, false},
			{2, "", 0, 3, false},
			{4, "peer", 6, 4, true},
			{3, "", 6, 4, true},
			{6, "peer", 6, 6, false},
			{5, "", 4, 6, false},
		} {
			x.source.set(func(s *source) { s.version, s.by = step.answer, step.by })
			x.observe(step.told, time.Now())
			time.Sleep(3 * time.Second)
			if s := x.State(); s.Version != step.want || s.Behind() != step.behind {
				t.Errorf("after an answer with %d, told of %d: version %d in force, behind %v; want %d, %v", step.answer, step.told, s.Version, s.Behind(), step.want, step.behind)
			}
		}
		if got := x.applied(); len(got) != 3 || got[0] != 3 || got[1] != 4 || got[2] != 6 {
			t.Errorf("versions %v were applied, want 3, 4 and 6", got)
		}
	})
}

// Guards against an instance that reads although its peers confirm its version, and one
// that does not read although they no longer do.
func TestConfirmationsReplaceReads(t *testing.T) {
	run(t, false, func(x *world) {
		for range 10 {
			x.observe(3, time.Now())
			time.Sleep(time.Second)
		}
		x.source.set(func(s *source) {
			if s.reads != 1 {
				t.Errorf("%d reads beside confirmations, want the first one", s.reads)
			}
			s.version = 5
		})
		time.Sleep(1300 * time.Millisecond)
		if got := x.State(); got.Version != 5 || got.ConfirmedBy != "self" {
			t.Errorf("state %+v after the peers fell silent, want version 5 by own reading", got)
		}
	})
}

// Guards against a confirmation by a watch that has failed.
func TestFailedWatchConfirmsNothing(t *testing.T) {
	run(t, true, func(x *world) {
		before := x.State().ConfirmedAt
		time.Sleep(time.Second)
		if at := x.State().ConfirmedAt; !at.After(before) {
			t.Errorf("confirmed at %v by a watch without a change, as before", at)
		}
		x.source.set(func(s *source) { s.silent = true })
		// The watch that runs ends well, the next one is silent.
		time.Sleep(2200 * time.Millisecond)
		if age := time.Since(x.State().ConfirmedAt); age < time.Second {
			t.Errorf("confirmed %v ago during a silent watch", age)
		}
	})
}
