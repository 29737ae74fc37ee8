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
	// held is what the holder has now. Among equals a slot stays with the holder
	// that has it, so that slots do not wander while all are in use.
	held int
}

// before reports whether t gets a slot before o.
func (t target) before(o target) bool {
	if t.slots != o.slots {
		return t.slots < o.slots
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
		d.targets = append(d.targets, target{holder: name, held: l.records[name].held})
	}
	d.raise(func(h egretflow.InstanceName) int { return l.records[h].inUse })
	d.raise(func(h egretflow.InstanceName) int {
		return l.entitled(h, l.shares.reserved(slices.Index(holders, h)))
	})
	for class := range egretflow.Importances {
		goals := make(map[egretflow.InstanceName]int, len(d.targets))
		for _, t := range d.targets {
			goals[t.holder] = t.slots + l.records[t.holder].wantedIn(class)
		}
		d.raise(func(h egretflow.InstanceName) int { return l.entitled(h, goals[h]) })
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

// wantedIn returns the slots wanted beyond those in use in a class. Wanted
// counts beyond Held, so slots held and not in use belong to the most
// important class that wants any.
func (r *record) wantedIn(class int) int {
	want := r.wanted[class]
	if want > 0 && !slices.ContainsFunc(r.wanted[:class], func(n int) bool { return n > 0 }) {
		want += max(0, r.held-r.inUse)
	}
	return want
}
