// Package poller reads the load of the backend servers that the own instance
// owns (5.3) and passes it on as observations.
//
// # Usage
//
//	p := poller.New(poller.Config{Servers: exchanger.Owned, Sinks: sinks, ...})
//	go p.Run(ctx)
//	p.SawLoad(server, at) // a response carried the ORCA load header
//
// # Rules
//
//  1. Only servers of model pools are asked; plain services have no load report.
//  2. A server is asked every [Interval], every [UrgentInterval] while grants
//     wait for its load report, and only every [SlowInterval] while responses
//     carry its load. SlowInterval is short enough for a draining server to be
//     noticed in time (9.2).
//  3. At most one request per server is open, and at most [MaxOpen] in all.
//  4. A reading is used with the server's own time if that is not in the future
//     and not older than [MaxLag]; otherwise it is taken as MaxLag old, so that a
//     wrong clock cannot make an old reading look new.
package poller
