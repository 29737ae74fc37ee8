package commander

import (
	"context"
	"strconv"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/egretflow/egretflow"
)

// command is an order, or the start or end of a drain, for one engine.
type command struct {
	server *egretflow.Server
	// order is nil if the command starts or ends a drain.
	order *order
	// drain is true to start a drain and false to end it.
	drain bool
}

// sendCommands sends the commands that make the engines match the desired state.
// It returns errStaleFencing when an engine has seen a higher token.
func (p *poolCommander) sendCommands(ctx context.Context, pool *egretflow.Pool, statuses map[egretflow.ServerName]engineStatus) error {
	commands, err := p.commands(pool, statuses)
	if err != nil {
		return err
	}
	term := *p.term
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, c := range commands {
		group.Go(func() error {
			err := p.send(ctx, &term, c)
			if errors.Is(err, errStaleFencing) {
				return err
			}
			// After any other failure the next status of the engine still differs
			// and the command is sent again.
			return nil
		})
	}
	return group.Wait()
}

// send sends one command, unless it could arrive after the end of the lease.
func (p *poolCommander) send(ctx context.Context, t *term, c command) error {
	if !t.allowsCommand(p.cfg.Clock()) {
		return nil
	}
	if c.order == nil {
		return p.engines.drain(ctx, c.server, c.drain)
	}
	p.record(egretflow.EventOrderSent, c.server.Name, "Fencing", strconv.FormatUint(c.order.Fencing, 10))
	return p.engines.sendOrder(ctx, c.server, *c.order)
}

// commands returns the commands for the engines that differ from the desired
// state. It returns errStaleFencing when an engine has a higher token.
func (p *poolCommander) commands(pool *egretflow.Pool, statuses map[egretflow.ServerName]engineStatus) ([]command, error) {
	now := p.cfg.Clock()
	targets := map[egretflow.ServerName]engineTarget{}
	for _, e := range p.desired.Engines {
		targets[e.Server] = e
	}
	loading := 0
	for _, r := range statuses {
		if r.order.Fencing > p.term.Fencing {
			return nil, errStaleFencing
		}
		if r.order.State == stateLoading {
			loading++
		}
	}
	var commands []command
	for n := range pool.Servers {
		s := &pool.Servers[n]
		r, ok := statuses[s.Name]
		if !ok || !s.ChecksFencing && now.Before(p.term.unfencedCommandsFrom) {
			continue
		}
		target := targets[s.Name]
		if o := wantedOrder(target, r, p.term.Fencing); o != nil {
			if o.Model != r.order.Model {
				if loading >= p.cfg.MaxConcurrentLoads {
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

// wantedOrder returns the order that makes the engine match its target and gives
// it the fencing token, or nil if it has both already. Adapter and version keep
// the values that the engine reported.
func wantedOrder(target engineTarget, r engineStatus, fencing uint64) *order {
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
