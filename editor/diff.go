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

// String formats the change as one line, which starts with + for an addition, - for
// a removal and ~ for a modification.
func (c Change) String() string {
	switch {
	case c.Before == nil:
		return fmt.Sprintf("+ %s %s", c.Path, c.After)
	case c.After == nil:
		return fmt.Sprintf("- %s %s", c.Path, c.Before)
	}
	return fmt.Sprintf("~ %s %s -> %s", c.Path, c.Before, c.After)
}

// item is a part of the tables that Diff compares as a whole: a route, a pool, a server
// or an organisation.
type item struct {
	path  string
	value any
}

// Diff returns the changes from before to after, which Apply can apply to before
// to reproduce after. For each list they are the removed and modified items in the
// order of before, then the added ones in the order of after, then a change with
// the path of the list if the order of its items changed. Order matters because
// the first matching route is used. Revision and EditID are ignored.
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
	if err := add(diffItems("Organisations", organisationItems(before), organisationItems(after))); err != nil {
		return nil, err
	}
	return changes, nil
}

func organisationItems(t *egretflow.Tables) []item {
	items := make([]item, len(t.Organisations))
	for n := range t.Organisations {
		items[n] = item{"Organisations/" + string(t.Organisations[n].Name), &t.Organisations[n]}
	}
	return items
}

func routeItems(t *egretflow.Tables) []item {
	items := make([]item, len(t.Routes))
	for n := range t.Routes {
		items[n] = item{"Routes/" + string(t.Routes[n].Name), &t.Routes[n]}
	}
	return items
}

// poolAttributes is a pool without its servers: in JSON its own Servers field,
// always nil, hides that of the embedded pool.
type poolAttributes struct {
	*egretflow.Pool
	Servers *struct{} `json:",omitempty"`
}

// poolItems returns the pools of t. A pool that is also in other is compared without
// its servers, which Diff compares separately.
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

// orderChange returns the change of order that remains after removed items are
// deleted and added ones are appended, or nil if there is none.
func orderChange(list string, before, after []item, old, current map[string]json.RawMessage) *Change {
	var expected []string
	for _, i := range before {
		if current[i.path] != nil {
			expected = append(expected, i.path)
		}
	}
	var wanted []string
	for _, i := range after {
		wanted = append(wanted, i.path)
		if old[i.path] == nil {
			expected = append(expected, i.path)
		}
	}
	if slices.Equal(expected, wanted) {
		return nil
	}
	// Encoding strings cannot fail.
	expectedJSON, _ := json.Marshal(expected)
	wantedJSON, _ := json.Marshal(wanted)
	return &Change{Path: list, Before: expectedJSON, After: wantedJSON}
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
