package allocator

import (
	"maps"
	"slices"

	"github.com/egretflow/egretflow"
)

// target is the number of slots that one holder is to get.
type target struct {
	holder egretflow.InstanceName
	slots  int
	// baseline and held break ties between holders with the same number of slots. A
	// holder below its baseline share comes first, so that remainders are spread evenly
	// over all servers, then one that is below the slots that it already holds.
	baseline int
	held     int
}

// before reports whether t is given the next slot before o.
func (t target) before(o target) bool {
	if t.slots != o.slots {
		return t.slots < o.slots
	}
	if belowBaseline, otherBelowBaseline := t.slots < t.baseline, o.slots < o.baseline; belowBaseline != otherBelowBaseline {
		return belowBaseline
	}
	return t.slots < t.held && o.slots >= o.held
}

// division distributes a number of free slots over the targets.
type division struct {
	targets []target
	free    int
}

// targets divides slots among the holders that report (rule 4) and returns the number for
// each.
func (l *ledger) targets(holders []egretflow.InstanceName, slots int) map[egretflow.InstanceName]int {
	d := division{free: slots}
	for _, name := range l.rotated(slices.Sorted(maps.Keys(l.records))) {
		baseline := l.shares.baseline(slices.Index(holders, name))
		d.targets = append(d.targets, target{holder: name, baseline: baseline, held: l.records[name].held})
	}
	d.fill(func(h egretflow.InstanceName) int {
		return l.goalUnlessLeaving(h, l.shares.reserved(slices.Index(holders, h)))
	})
	for class := range egretflow.Importances {
		goals := make(map[egretflow.InstanceName]int, len(d.targets))
		for _, t := range d.targets {
			goals[t.holder] = l.records[t.holder].goal(class, t.slots)
		}
		d.fill(func(h egretflow.InstanceName) int { return goals[h] })
	}
	d.fill(func(h egretflow.InstanceName) int {
		return l.goalUnlessLeaving(h, l.shares.baseline(slices.Index(holders, h)))
	})
	d.fill(func(h egretflow.InstanceName) int { return l.goalUnlessLeaving(h, l.records[h].held) })
	result := make(map[egretflow.InstanceName]int, len(d.targets))
	for _, t := range d.targets {
		result[t.holder] = t.slots
	}
	return result
}

// fill gives the free slots one by one to the holder with the fewest slots among those
// below their goal, until every holder has reached its goal or no slot is free.
func (d *division) fill(goal func(egretflow.InstanceName) int) {
	goals := make([]int, len(d.targets))
	for n, t := range d.targets {
		goals[n] = goal(t.holder)
	}
	for ; d.free > 0; d.free-- {
		lowest := -1
		for n, t := range d.targets {
			if t.slots < goals[n] && (lowest < 0 || t.before(d.targets[lowest])) {
				lowest = n
			}
		}
		if lowest < 0 {
			return
		}
		d.targets[lowest].slots++
	}
}

// goalUnlessLeaving returns goal, or 0 for a leaving holder, which keeps only the slots
// that it uses.
func (l *ledger) goalUnlessLeaving(holder egretflow.InstanceName, goal int) int {
	if l.records[holder].leaving {
		return 0
	}
	return goal
}

// rotated returns the names rotated by an offset that differs between servers, so that
// remaining ties do not favour the same holder on every server.
func (l *ledger) rotated(names []egretflow.InstanceName) []egretflow.InstanceName {
	if len(names) == 0 {
		return nil
	}
	start := l.shares.offset % len(names)
	return append(names[start:len(names):len(names)], names[:start]...)
}

// goal returns the slots that the holder should have after a class is served. slots is the
// number that it has been given so far, by the reserved slot and for more important
// classes.
//
// The importance of slots in use is not reported. They count as wanted in the most
// important class for which the holder wants slots, or in class 0 if it wants none. They
// have no further protection: a grant below InUse interrupts no request, but a holder that
// uses every free slot at once is reduced to the same share as the others, for example
// when a member has joined.
func (r *record) goal(class, slots int) int {
	switch {
	case class == r.firstClass() && r.leaving:
		return max(slots, r.inUse)
	case r.leaving:
		return slots
	case class == r.firstClass():
		// Wanted counts slots beyond Held, so if any are wanted, the held slots that
		// are not in use are needed too.
		occupied := r.inUse
		if r.wanted[class] > 0 {
			occupied = max(r.inUse, r.held)
		}
		slots = max(slots, occupied)
	}
	return slots + r.wanted[class]
}

// firstClass returns the most important class for which the holder wants slots, or 0 if it
// wants none.
func (r *record) firstClass() int {
	return max(0, slices.IndexFunc(r.wanted[:], func(n int) bool { return n > 0 }))
}
