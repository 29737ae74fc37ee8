package commander

import (
	"context"
	"strconv"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/egretflow/egretflow"
)

// command is one message to one engine.
type command struct {
	server *egretflow.Server
	// order is set for an order; otherwise drain says what to do.
	order *order
	drain bool
}

// commandAll sends the commands that follow from the readings. It returns
// errStale when an engine has seen a higher token.
func (p *poolCommander) commandAll(ctx context.Context, pool *egretflow.Pool, readings map[egretflow.ServerName]reading) error {
	commands, err := p.commands(pool, readings)
	if err != nil {
		return err
	}
	term := *p.term
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for _, c := range commands {
		group.Go(func() error {
			err := p.send(ctx, &term, c)
			if errors.Is(err, errStale) {
				return err
			}
			// Another failure shows in the next reading.
			return nil
		})
	}
	return group.Wait()
}

// send sends one command if it arrives within the lease.
func (p *poolCommander) send(ctx context.Context, t *term, c command) error {
	if !t.allows(p.cfg.Clock()) {
		return nil
	}
	if c.order == nil {
		return p.engines.drain(ctx, c.server, c.drain)
	}
	p.record(egretflow.EventOrderSent, c.server.Name, "Fencing", strconv.FormatUint(c.order.Fencing, 10))
	return p.engines.order(ctx, c.server, *c.order)
}

// commands compares the engines with the desired state.
func (p *poolCommander) commands(pool *egretflow.Pool, readings map[egretflow.ServerName]reading) ([]command, error) {
	now := p.cfg.Clock()
	targets := map[egretflow.ServerName]engineTarget{}
	for _, e := range p.desired.Engines {
		targets[e.Server] = e
	}
	loading := 0
	for _, r := range readings {
		if r.order.Fencing > p.term.Fencing {
			return nil, errStale
		}
		if r.order.State == stateLoading {
			loading++
		}
	}
	var commands []command
	for n := range pool.Servers {
		s := &pool.Servers[n]
		r, ok := readings[s.Name]
		if !ok || !s.ChecksFencing && now.Before(p.term.commandsFrom) {
			continue
		}
		target := targets[s.Name]
		if o := wantedOrder(target, r, p.term.Fencing); o != nil {
			if o.Model != r.order.Model {
				if loading >= p.cfg.MaxLoads {
					continue
				}
				loading++
			}
			commands = append(commands, command{server: s, order: o})
		}
		draining := target.NextRole != ""
		if draining && !r.load.Draining || !draining && r.load.Draining && now.Before(target.UndrainUntil) {
			commands = append(commands, command{server: s, drain: draining})
		}
	}
	return commands, nil
}

// wantedOrder returns the order that makes the engine match its target, or nil
// if it does. Adapter and version are kept as they are.
func wantedOrder(target engineTarget, r reading, fencing uint64) *order {
	o := r.order
	o.State = ""
	o.Fencing, o.Role, o.Model = fencing, target.Role, target.Model
	current := r.order
	current.State = ""
	if o == current {
		return nil
	}
	return &o
}
