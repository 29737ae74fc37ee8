package allocator

import (
	"maps"
	"slices"

	"github.com/egretflow/egretflow"
)

// target is the number of slots that one holder should have.
type target struct {
	holder egretflow.InstanceName
	slots  int
	// baseline and held decide among equals: the remainder goes to those whose
	// baseline share has it, so that it is spread evenly over all servers, and
	// then to those that have it already.
	baseline int
	held     int
}

// before reports whether t gets a slot before o.
func (t target) before(o target) bool {
	if t.slots != o.slots {
		return t.slots < o.slots
	}
	if short, otherShort := t.slots < t.baseline, o.slots < o.baseline; short != otherShort {
		return short
	}
	return t.slots < t.held && o.slots >= o.held
}

// division spreads a number of free slots over the targets.
type division struct {
	targets []target
	free    int
}

// targets divides slots between the holders that report (rule 4).
func (l *ledger) targets(holders []egretflow.InstanceName, slots int) map[egretflow.InstanceName]int {
	d := division{free: slots}
	for _, name := range l.rotated(slices.Sorted(maps.Keys(l.records))) {
		baseline := l.shares.baseline(slices.Index(holders, name))
		d.targets = append(d.targets, target{holder: name, baseline: baseline, held: l.records[name].held})
	}
	d.raise(func(h egretflow.InstanceName) int {
		return l.entitled(h, l.shares.reserved(slices.Index(holders, h)))
	})
	for class := range egretflow.Importances {
		goals := make(map[egretflow.InstanceName]int, len(d.targets))
		for _, t := range d.targets {
			goals[t.holder] = l.records[t.holder].goal(class, t.slots)
		}
		d.raise(func(h egretflow.InstanceName) int { return goals[h] })
	}
	d.raise(func(h egretflow.InstanceName) int {
		return l.entitled(h, l.shares.baseline(slices.Index(holders, h)))
	})
	d.raise(func(h egretflow.InstanceName) int { return l.entitled(h, l.records[h].held) })
	result := make(map[egretflow.InstanceName]int, len(d.targets))
	for _, t := range d.targets {
		result[t.holder] = t.slots
	}
	return result
}

// raise gives free slots one by one to the holder with the fewest, until every
// holder has its goal or no slot is free.
func (d *division) raise(goal func(egretflow.InstanceName) int) {
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

// entitled returns goal, or 0 for a leaving holder: it keeps what it uses and
// gets nothing new.
func (l *ledger) entitled(holder egretflow.InstanceName, goal int) int {
	if l.records[holder].leaving {
		return 0
	}
	return goal
}

// rotated starts the holders at a different one for each server, so that ties
// do not favour the same holder everywhere.
func (l *ledger) rotated(names []egretflow.InstanceName) []egretflow.InstanceName {
	if len(names) == 0 {
		return nil
	}
	start := l.shares.offset % len(names)
	return append(names[start:len(names):len(names)], names[:start]...)
}

// goal returns the slots that the holder should have once a class is served,
// starting from those that it has been given for other reasons and for more
// important classes.
//
// The importance of slots in use is not reported. They count as wanted in the
// most important class that the holder has queued, or in the first one if it
// has no queue. They are not protected beyond that: a grant below InUse
// interrupts nothing, but lets a holder that refills its slots at once fall
// back to the share of the others, such as of a member that has joined.
func (r *record) goal(class, slots int) int {
	switch {
	case class == r.firstClass() && r.leaving:
		return max(slots, r.inUse)
	case r.leaving:
		return slots
	case class == r.firstClass():
		// Wanted counts beyond Held if any is wanted.
		occupied := r.inUse
		if r.wanted[class] > 0 {
			occupied = max(r.inUse, r.held)
		}
		slots = max(slots, occupied)
	}
	return slots + r.wanted[class]
}

// firstClass returns the most important class that the holder wants slots for,
// or 0.
func (r *record) firstClass() int {
	return max(0, slices.IndexFunc(r.wanted[:], func(n int) bool { return n > 0 }))
}
