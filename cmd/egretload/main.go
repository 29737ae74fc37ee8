// Command egretload measures the policies of egretflow under load. For each run it
// starts stand-in backend servers and entry instances on loopback. Runs with the
// same shape and seed get the same requests at the same times under each policy.
//
// # Usage
//
//	egretload --deployment Vonwiller --shape Crest --policy Joint --policy RoundRobin --seed 1
//	egretload --deployment Kilimanjaro --shape Stragglers --runs 5 --json > results.json
//
// Every flag can be set by an environment variable with the prefix
// EGRETFLOW_LOAD_.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/explainer"
	"github.com/egretflow/egretflow/internal/loadgen"
	"github.com/egretflow/egretflow/picker"
)

// flags defines the command line. Names of fields are names of flags.
type flags struct {
	Deployment string          `help:"Vonwiller or Kilimanjaro." default:"Vonwiller" enum:"Vonwiller,Kilimanjaro"`
	Shape      []loadgen.Shape `help:"Shape of the load, repeatable: Steady, Crest, Stragglers, Faults." default:"Crest" name:"shape"`
	Policy     []picker.Policy `help:"Policy, repeatable: Joint, RoundRobin, LeastLoaded, PowerOfTwo." default:"Joint"`
	Instances  int             `help:"Number of entry instances." default:"8"`
	Seed       uint64          `help:"Seed of the first run." default:"1"`
	Runs       int             `help:"Number of runs with successive seeds." default:"1"`
	JSON       bool            `help:"Print one JSON object per result in place of a table."`
	Results    string          `help:"Read the results of earlier runs from this file of JSON objects in place of running." type:"existingfile"`
	Plot       string          `help:"Write a plot of the goodput to this SVG or PNG file."`
	Log        bool            `help:"Write the events of the instances to standard error."`
}

func main() {
	var f flags
	k := kong.Parse(&f, kong.Description("Measures egretflow under load against stand-in backend servers."),
		kong.DefaultEnvars("EGRETFLOW_LOAD"))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	k.FatalIfErrorf(f.run(ctx))
}

func (f *flags) run(ctx context.Context) error {
	measure := f.runAll
	if f.Results != "" {
		measure = f.readResults
	}
	results, err := measure(ctx)
	if err != nil {
		return err
	}
	if f.Plot != "" {
		if err := loadgen.WritePlot(f.Plot, results); err != nil {
			return err
		}
	}
	if f.JSON {
		return loadgen.WriteJSON(os.Stdout, results)
	}
	return loadgen.WriteTable(os.Stdout, results)
}

// readResults returns the results in the file of --results.
func (f *flags) readResults(context.Context) ([]*loadgen.Result, error) {
	file, err := os.Open(f.Results)
	if err != nil {
		return nil, fmt.Errorf("open results: %w", err)
	}
	defer func() { _ = file.Close() }()
	return loadgen.ReadJSON(file)
}

// runAll runs every combination of shape, seed and policy. Runs follow one another
// so that they don't compete for processors.
func (f *flags) runAll(ctx context.Context) ([]*loadgen.Result, error) {
	var results []*loadgen.Result
	for _, shape := range f.Shape {
		scenario, err := loadgen.FindScenario(f.Deployment, shape)
		if err != nil {
			return nil, err
		}
		for n := range f.Runs {
			for _, policy := range f.Policy {
				r, err := loadgen.Run(ctx, f.runConfig(scenario, policy, f.Seed+uint64(n)))
				if err != nil {
					return nil, fmt.Errorf("run %s with %s: %w", scenario.Name(), policy, err)
				}
				results = append(results, r)
			}
		}
	}
	return results, nil
}

func (f *flags) runConfig(s *loadgen.Scenario, policy picker.Policy, seed uint64) loadgen.Config {
	cfg := loadgen.Config{Scenario: s, Policy: policy, Instances: f.Instances, Seed: seed, Clock: egretflow.SystemClock}
	if f.Log {
		cfg.Logger = logrus.New()
		cfg.Logger.SetOutput(os.Stderr)
		cfg.Logger.SetFormatter(explainer.Formatter{})
	}
	return cfg
}
