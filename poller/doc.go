// Package poller requests load reports from the backend servers that this
// instance owns (5.3) and delivers them as observations.
//
// # Usage
//
//	p := poller.New(poller.Config{Servers: exchanger.Owned, Observers: observers, ...})
//	go p.Run(ctx)
//	p.LoadReceived(server, at) // a response carried the ORCA load header
//
// # Rules
//
//  1. Only servers of model pools are polled; plain services have no load report.
//  2. A server is polled every [Interval], every [UrgentInterval] while grants
//     wait for its load report, and only every [SlowInterval] while responses
//     carry its load. SlowInterval is short enough to detect a draining server
//     in time (9.2).
//  3. At most one request per server is in flight, and at most
//     [MaxConcurrentRequests] in total.
//  4. A report keeps the measurement time that the server states if that is not
//     in the future and not older than [MaxReportAge]; otherwise its age is
//     assumed to be MaxReportAge, so that a wrong clock cannot make an old report
//     look new.
package poller
