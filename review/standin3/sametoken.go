package main

import (
	"time"
)

const (
	// beforeCopy is how long the traffic runs before the copy of the store is taken.
	beforeCopy = time.Second
	// changeGap is the time before each of the two changes of the configuration.
	changeGap = 300 * time.Millisecond
	// orderWait is how long the case waits for the first order.
	orderWait = 15 * time.Second
	// afterOrder is the time from the first orders to the drill, and momentAway how long the
	// store is away.
	afterOrder = 300 * time.Millisecond
	momentAway = 150 * time.Millisecond
	// takeover is how long another holder has to act.
	takeover = 15 * time.Second
)

// order is an order that has reached a replica.
type order struct {
	at      time.Time
	replica *replica
	holder  string
	fence   int64
	status  int
}

// sameToken plays the drill in which the store comes back from a copy some seconds old, just
// after an instance has become the holder of the lease for orders and has given its first
// orders. Then that instance is stopped, as planned work. No two holders may give orders to
// one replica with one fencing token.
func sameToken(w *world, trouble bool) bool {
	w.startFleet()
	time.Sleep(beforeCopy)
	w.store.copyNow()
	w.note("the copy of the store is taken at revision %d", w.store.revision())
	for n := range 2 {
		time.Sleep(changeGap)
		w.changeTimeout(8 + n)
		w.note("the operator changes the configuration; the store is at revision %d", w.store.revision())
	}
	first, ok := w.firstOrder()
	if !ok {
		w.fail("no order was given")
	}
	time.Sleep(afterOrder)
	if trouble {
		w.store.goAway()
		time.Sleep(momentAway)
		before, after, age := w.store.comeBack(true)
		w.writeConfig()
		w.note("the store was away for %v and comes back from a copy %.1f s old: revision %d instead of %d", momentAway, age.Seconds(), after, before)
	}
	for _, i := range w.instances {
		if i.name == first.holder {
			i.stop()
		}
	}
	time.Sleep(takeover)
	w.endTraffic()
	w.summary()
	return w.judgeTokens()
}

// firstOrder waits for the first order.
func (w *world) firstOrder() (order, bool) {
	for end := time.Now().Add(orderWait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()
		if len(w.orders) > 0 {
			first := w.orders[0]
			w.mu.Unlock()
			return first, true
		}
		w.mu.Unlock()
	}
	return order{}, false
}

// judgeTokens reports whether two holders have given orders to one replica with one fencing
// token.
func (w *world) judgeTokens() bool {
	type token struct {
		replica string
		fence   int64
	}
	holders := map[token]string{}
	broken := 0
	for _, o := range w.orders {
		w.note("order at %.3f: %s with fencing token %d to %s, answered %d", w.at(o.at), o.holder, o.fence, o.replica.name, o.status)
		t := token{o.replica.name, o.fence}
		if other, ok := holders[t]; ok && other != o.holder {
			broken++
			w.note("two holders: %s and %s gave orders to %s with fencing token %d", other, o.holder, o.replica.name, o.fence)
			continue
		}
		holders[t] = o.holder
	}
	w.note("ONE: %d orders came from a second holder with the fencing token of the first", broken)
	return broken > 0
}
