package scheduler

import (
	"github.com/egretflow/egretflow"
)

type adoptMessage struct {
	adoption egretflow.Adoption
	reply    chan bool
}

func (adoptMessage) isMessage() {}

var _ egretflow.AdoptingScheduler = (*Scheduler)(nil)

// Adopt implements egretflow.AdoptingScheduler.
func (s *Scheduler) Adopt(a egretflow.Adoption) bool {
	m := adoptMessage{adoption: a, reply: make(chan bool, 1)}
	return ask(s, m, m.reply)
}

// Adopt is the Adopt of a Scheduler.
func (s *Stepper) Adopt(a egretflow.Adoption) bool {
	s.task.now = s.task.cfg.Clock()
	return s.task.adopt(&a)
}

// adopt counts a running attempt that another scheduler has placed. Its prefill
// is taken to have ended: the prefill servers of an attempt are busy for a
// fraction of a second only.
func (t *task) adopt(ad *egretflow.Adoption) bool {
	p, ok := t.pools[ad.Work.Pool]
	if _, known := t.attempts[ad.Attempt]; known || !ok {
		return false
	}
	pl, ok := p.picker.Adopt(ad.Decode, ad.Work, ad.Generated, t.now)
	if !ok {
		return false
	}
	a := &attempt{
		placement: pl, pool: p, startedAt: t.now, progress: ad.Generated, produced: ad.Generated > 0, adopted: true,
		firstAssignment: egretflow.Assignment{Attempt: ad.Attempt, Work: ad.Work, Decode: pl.Decode.Spec, Slots: pl.Slots},
	}
	a.assignment = &a.firstAssignment
	t.attempts[ad.Attempt] = a
	t.streams.Open(ad.Work)
	a.use = p.shares.Start(ad.Work)
	p.running++
	p.addCallStart(t.now)
	return true
}
