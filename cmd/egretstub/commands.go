package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/engine"
	"github.com/egretflow/egretflow/internal/stub/lister"
	"github.com/egretflow/egretflow/internal/stub/service"
	"github.com/egretflow/egretflow/internal/stub/store"
)

// crashExitCode is the exit status after a crash of the engine. A stop by signal and
// other errors have other statuses.
const crashExitCode = 3

type engineCommand struct {
	listenFlags
	Name               string         `required:"" help:"Engine id in KV transfers."`
	Role               egretflow.Role `default:"Decode" help:"Prefill or Decode."`
	Model              string         `help:"The only model served; empty for any."`
	Slots              int            `default:"20" help:"Requests that run at a time."`
	MaxWaiting         int            `default:"64" help:"Requests that may wait for a slot."`
	Blocks             int            `default:"4000" help:"Memory in blocks of 16 tokens."`
	PrefillRate        int            `default:"16000" help:"Prefill rate in tokens/s."`
	TokenGap           time.Duration  `default:"25ms" help:"Time between tokens of a stream."`
	LinkRate           int64          `default:"5000000000" help:"Rate of the KV export link in bytes/s."`
	KVBytesPerToken    int64          `default:"131072" help:"KV cache size of one token in bytes."`
	PrefillKept        time.Duration  `default:"800ms" help:"How long a prefill result waits for its import."`
	StreamKept         time.Duration  `default:"3s" help:"How long a disconnected stream can be resumed."`
	ReportLag          time.Duration  `default:"1s" help:"Interval of the load reports."`
	ChecksFencing      bool           `help:"Reject orders with a stale fencing token."`
	WeightStoreRate    int64          `default:"2000000000" help:"Rate of model loads in bytes/s."`
	ModelBytes         int64          `default:"16000000000" help:"Size of a model in bytes."`
	RestartAfter       time.Duration  `default:"2s" help:"How long a crashed engine is down."`
	ExitOnCrash        bool           `help:"End the process when the engine crashes."`
	Seed               uint64         `default:"1" help:"Seed of the lost cache events and request ids."`
	CacheEventGapShare float64        `default:"0.02" help:"Share of the cache events that are lost."`
}

// Run serves a model engine until ctx ends.
func (c *engineCommand) Run(ctx context.Context) error {
	cfg := engine.Config{
		Name: c.Name, Role: c.Role, Model: c.Model, Address: c.Listen, Slots: c.Slots, MaxWaiting: c.MaxWaiting,
		Blocks: c.Blocks, PrefillTokensPerSecond: c.PrefillRate, TokenGap: c.TokenGap,
		LinkBytesPerSecond: c.LinkRate, KVBytesPerToken: c.KVBytesPerToken,
		PrefillRetention: c.PrefillKept, StreamRetention: c.StreamKept, ReportLag: c.ReportLag,
		EventLossProbability: c.CacheEventGapShare, ChecksFencing: c.ChecksFencing,
		Weights: &engine.WeightStore{BytesPerSecond: c.WeightStoreRate}, ModelBytes: c.ModelBytes,
		RestartAfter: c.RestartAfter, Clock: egretflow.SystemClock,
		Rand: rand.New(rand.NewPCG(c.Seed, c.Seed)), Client: &http.Client{},
	}
	if c.ExitOnCrash {
		cfg.OnCrash = func() { os.Exit(crashExitCode) }
	}
	eng := engine.New(cfg)
	return c.serve(ctx, eng, eng.Faults)
}

type serviceCommand struct {
	listenFlags
	Name    string        `required:"" help:"Name in the answers."`
	Latency time.Duration `default:"20ms" help:"Time from the run to its response."`
	Slots   int           `help:"Calls in progress at a time; 0 for no limit."`
}

// Run serves a plain service until ctx ends.
func (c *serviceCommand) Run(ctx context.Context) error {
	svc := service.New(service.Config{Name: c.Name, Latency: c.Latency, Slots: c.Slots, Clock: egretflow.SystemClock})
	return c.serve(ctx, svc, svc.Faults)
}

type storeCommand struct {
	listenFlags
	Latency         time.Duration `default:"2ms" help:"Duration of a call."`
	WritesPerSecond int           `default:"500" help:"Limit of writes; 0 for none."`
	ReadsPerSecond  int           `default:"2000" help:"Limit of reads; 0 for none."`
}

// Run serves the key-value store until ctx ends.
func (c *storeCommand) Run(ctx context.Context) error {
	s := store.New(store.Config{
		Latency: c.Latency, WritesPerSecond: c.WritesPerSecond, ReadsPerSecond: c.ReadsPerSecond,
		Clock: egretflow.SystemClock,
	})
	return c.serve(ctx, s, s.Faults)
}

type listerCommand struct {
	listenFlags
	Lag     time.Duration `default:"5s" help:"Time until a change is visible."`
	Entries string        `type:"existingfile" help:"JSON file with the first entries, as in POST /entries."`
}

// Run serves the instance list until ctx ends.
func (c *listerCommand) Run(ctx context.Context) error {
	var entries []lister.Entry
	if c.Entries != "" {
		data, err := os.ReadFile(c.Entries)
		if err != nil {
			return fmt.Errorf("read entries: %w", err)
		}
		if err := json.Unmarshal(data, &entries); err != nil {
			return fmt.Errorf("decode entries of %s: %w", c.Entries, err)
		}
	}
	l := lister.New(lister.Config{Lag: c.Lag, Entries: entries, Clock: egretflow.SystemClock})
	return c.serve(ctx, l, l.Faults)
}
