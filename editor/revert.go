package editor

import (
	"slices"
	"strings"

	"github.com/egretflow/egretflow"
)

// revert undoes edits, given oldest first, to show what an operator saw before
// them. A change of order alone is not undone.
func revert(current *egretflow.Tables, entries []Entry) (*egretflow.Tables, error) {
	root, err := tree(current)
	if err != nil {
		return nil, err
	}
	for _, entry := range slices.Backward(entries) {
		for _, c := range slices.Backward(entry.Changes) {
			if c.Before != nil && c.Before[0] == '[' {
				continue
			}
			if root, err = c.undo(root); err != nil {
				return nil, err
			}
		}
	}
	return decodeTree(root)
}

func (c *Change) undo(root any) (any, error) {
	segments := splitPath(c.Path)
	if len(segments) == 0 {
		return nil, ErrNotReproduced
	}
	if c.Before == nil {
		s := Step{Operation: OperationDelete, Path: c.Path}
		return s.apply(root)
	}
	before, err := parse(c.Before)
	if err != nil {
		return nil, err
	}
	keepServers(root, segments, before)
	return change(root, segments, 0, func(parent any, name, at string) (any, error) {
		return put(parent, name, at, before)
	})
}

// keepServers completes the attributes of a pool, which the trail holds
// without the servers, with the servers that the pool has.
func keepServers(root any, segments []string, before any) {
	if len(segments) != 2 || segments[0] != "Pools" {
		return
	}
	pools, err := child(root, segments[0], segments[0])
	if err != nil {
		return
	}
	pool, err := child(pools, segments[1], strings.Join(segments, "/"))
	if err != nil {
		return
	}
	attributes, ok := before.(map[string]any)
	present, isPool := pool.(map[string]any)
	if ok && isPool && attributes["Servers"] == nil {
		attributes["Servers"] = present["Servers"]
	}
}
