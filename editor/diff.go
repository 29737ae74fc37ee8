package editor

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/egretflow/egretflow"
)

// Change is the difference at one path. Before is nil for an addition, After
// for a removal.
type Change struct {
	Path   string
	Before json.RawMessage `json:",omitempty"`
	After  json.RawMessage `json:",omitempty"`
}

// String shows the change on one line.
func (c Change) String() string {
	switch {
	case c.Before == nil:
		return fmt.Sprintf("+ %s %s", c.Path, c.After)
	case c.After == nil:
		return fmt.Sprintf("- %s %s", c.Path, c.Before)
	}
	return fmt.Sprintf("~ %s %s -> %s", c.Path, c.Before, c.After)
}

// item is a named part of the tables that is compared as a whole.
type item struct {
	path  string
	value any
}

// Diff lists the changes from one version of the tables to another: removed
// and changed items in the order of before, then added ones in the order of
// after. Apply reproduces after from before by them. The path of a list stands
// for its order, which matters because the first route that fits is used.
// Revision and EditID are ignored.
func Diff(before, after *egretflow.Tables) ([]Change, error) {
	var changes []Change
	add := func(more []Change, err error) error {
		changes = append(changes, more...)
		return err
	}
	if err := add(diffItems("Routes", routeItems(before), routeItems(after))); err != nil {
		return nil, err
	}
	if err := add(diffItems("Pools", poolItems(before, after), poolItems(after, before))); err != nil {
		return nil, err
	}
	for n := range before.Pools {
		old := &before.Pools[n]
		pool, ok := after.Pool(old.Name)
		if !ok {
			continue
		}
		if err := add(diffItems(serversPath(old), serverItems(old), serverItems(pool))); err != nil {
			return nil, err
		}
	}
	return changes, nil
}

func routeItems(t *egretflow.Tables) []item {
	items := make([]item, len(t.Routes))
	for n := range t.Routes {
		items[n] = item{"Routes/" + string(t.Routes[n].Name), &t.Routes[n]}
	}
	return items
}

// poolAttributes is a pool without its servers: the empty field takes the
// place of the embedded one in JSON.
type poolAttributes struct {
	*egretflow.Pool
	Servers *struct{} `json:",omitempty"`
}

// poolItems lists the pools of t. A pool that other has too is compared
// without its servers, which are items of their own.
func poolItems(t, other *egretflow.Tables) []item {
	items := make([]item, len(t.Pools))
	for n := range t.Pools {
		pool := &t.Pools[n]
		items[n] = item{"Pools/" + string(pool.Name), pool}
		if _, ok := other.Pool(pool.Name); ok {
			items[n].value = poolAttributes{Pool: pool}
		}
	}
	return items
}

func serversPath(p *egretflow.Pool) string { return "Pools/" + string(p.Name) + "/Servers" }

func serverItems(p *egretflow.Pool) []item {
	items := make([]item, len(p.Servers))
	for n := range p.Servers {
		items[n] = item{serversPath(p) + "/" + string(p.Servers[n].Name), &p.Servers[n]}
	}
	return items
}

func diffItems(list string, before, after []item) ([]Change, error) {
	old, err := encodeItems(before)
	if err != nil {
		return nil, err
	}
	current, err := encodeItems(after)
	if err != nil {
		return nil, err
	}
	var changes []Change
	for _, i := range before {
		if !bytes.Equal(old[i.path], current[i.path]) {
			changes = append(changes, Change{Path: i.path, Before: old[i.path], After: current[i.path]})
		}
	}
	for _, i := range after {
		if old[i.path] == nil {
			changes = append(changes, Change{Path: i.path, After: current[i.path]})
		}
	}
	if order := orderChange(list, before, after, old, current); order != nil {
		changes = append(changes, *order)
	}
	return changes, nil
}

// orderChange returns the change of order that is left after the removal of
// items and the addition of others at the end.
func orderChange(list string, before, after []item, old, current map[string]json.RawMessage) *Change {
	var kept []string
	for _, i := range before {
		if current[i.path] != nil {
			kept = append(kept, i.path)
		}
	}
	var wanted []string
	for _, i := range after {
		wanted = append(wanted, i.path)
		if old[i.path] == nil {
			kept = append(kept, i.path)
		}
	}
	if slices.Equal(kept, wanted) {
		return nil
	}
	// Strings always encode.
	keptJSON, _ := json.Marshal(kept)
	wantedJSON, _ := json.Marshal(wanted)
	return &Change{Path: list, Before: keptJSON, After: wantedJSON}
}

func encodeItems(items []item) (map[string]json.RawMessage, error) {
	encoded := make(map[string]json.RawMessage, len(items))
	for _, i := range items {
		data, err := json.Marshal(i.value)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", i.path, err)
		}
		encoded[i.path] = data
	}
	return encoded, nil
}
