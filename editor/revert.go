package editor

import (
	"slices"
	"strings"

	"github.com/egretflow/egretflow"
)

// revert undoes entries, given oldest first, and returns the tables as they were
// before them. Changes of the order of a list are not undone.
func revert(current *egretflow.Tables, entries []AuditEntry) (*egretflow.Tables, error) {
	root, err := toTree(current)
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
	before, err := parseJSON(c.Before)
	if err != nil {
		return nil, err
	}
	keepServers(root, segments, before)
	return editAt(root, segments, 0, func(parent any, name, at string) (any, error) {
		return setChild(parent, name, at, before)
	})
}

// keepServers adds the current servers of a pool to before if it is a pool without
// servers, in which form the audit trail holds changes of a pool.
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
