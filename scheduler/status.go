package scheduler

import "github.com/egretflow/egretflow"

type statusMessage struct{ reply chan []egretflow.PoolStatus }

func (statusMessage) isMessage() {}

// Status returns the state of the pools as this instance sees it, in the order of
// the tables.
func (s *Scheduler) Status() []egretflow.PoolStatus {
	m := statusMessage{reply: make(chan []egretflow.PoolStatus, 1)}
	return ask(s, m, m.reply)
}

func (t *task) status() []egretflow.PoolStatus {
	var list []egretflow.PoolStatus
	for _, p := range t.orderedPools {
		status := egretflow.PoolStatus{Name: p.picker.Name(), Queued: p.queue.Len() + len(p.fifo), QueuedLate: p.lateQueue.Len()}
		p.picker.Status(&status, t.now)
		if p.retries != nil {
			status.RetriesLeft = p.retries.Left(t.now)
		}
		list = append(list, status)
	}
	return list
}
