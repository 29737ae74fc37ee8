package editor

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/egretflow/egretflow"
	"github.com/pkg/errors"
)

// ErrNotReproduced means that the changes of an entry do not lead to the
// document that the edit wrote, because the base was another one.
var ErrNotReproduced = errors.New("changes do not reproduce the document")

// Next returns the tables and the document that the edit made of base, the
// tables one revision before. It does not change base.
func (n *Entry) Next(base *egretflow.Tables) (*egretflow.Tables, []byte, error) {
	if base.Revision+1 != n.Revision {
		return nil, nil, fmt.Errorf("edit of revision %d on revision %d: %w", n.Revision, base.Revision, ErrNotReproduced)
	}
	next, err := Apply(base, n.Changes)
	if err != nil {
		return nil, nil, err
	}
	next.Revision, next.EditID = n.Revision, n.EditID
	document, err := json.Marshal(next)
	if err != nil {
		return nil, nil, fmt.Errorf("encode tables: %w", err)
	}
	if xxhash.Sum64(document) != n.Checksum {
		return nil, nil, fmt.Errorf("edit of revision %d: %w", n.Revision, ErrNotReproduced)
	}
	return next, document, nil
}

// Apply makes the changes that Diff found. It copies what it changes, and costs
// far less than decoding a whole document.
func Apply(base *egretflow.Tables, changes []Change) (*egretflow.Tables, error) {
	next := *base
	next.Routes, next.Pools = slices.Clone(base.Routes), slices.Clone(base.Pools)
	withLists(&next)
	owned := map[egretflow.PoolName]bool{}
	for _, c := range changes {
		if err := c.applyTo(&next, owned); err != nil {
			return nil, fmt.Errorf("apply change of %s: %w", c.Path, err)
		}
	}
	return &next, nil
}

// withLists makes missing lists empty ones, because a change does not tell them
// apart and their encodings, and so the checksums, differ.
func withLists(t *egretflow.Tables) {
	if t.Routes == nil {
		t.Routes = []egretflow.Route{}
	}
	if t.Pools == nil {
		t.Pools = []egretflow.Pool{}
	}
}

func routeName(r *egretflow.Route) string   { return string(r.Name) }
func poolName(p *egretflow.Pool) string     { return string(p.Name) }
func serverName(s *egretflow.Server) string { return string(s.Name) }

// applyTo changes t. owned notes the pools whose list of servers was copied.
func (c *Change) applyTo(t *egretflow.Tables, owned map[egretflow.PoolName]bool) error {
	segments := splitPath(c.Path)
	switch {
	case len(segments) == 0:
		return ErrNotReproduced
	case segments[0] == "Routes" && len(segments) <= 2:
		return changeList(&t.Routes, segments[1:], c.After, routeName)
	case segments[0] != "Pools":
		return ErrNotReproduced
	case len(segments) == 1:
		return changeList(&t.Pools, nil, c.After, poolName)
	}
	pool, exists := t.Pool(egretflow.PoolName(segments[1]))
	switch {
	case len(segments) == 2 && exists && c.After != nil:
		// The attributes of a pool without its servers.
		servers := pool.Servers
		*pool = egretflow.Pool{}
		if err := json.Unmarshal(c.After, pool); err != nil {
			return err
		}
		pool.Servers = servers
		return nil
	case len(segments) == 2:
		return changeList(&t.Pools, segments[1:], c.After, poolName)
	case !exists || segments[2] != "Servers" || len(segments) > 4:
		return ErrNotReproduced
	}
	if !owned[pool.Name] {
		pool.Servers, owned[pool.Name] = slices.Clone(pool.Servers), true
	}
	return changeList(&pool.Servers, segments[3:], c.After, serverName)
}

// changeList sets or deletes the element named by path, or, without path, puts
// the list into the order of the paths in after.
func changeList[T any](list *[]T, path []string, after json.RawMessage, name func(*T) string) error {
	if len(path) == 0 {
		return reorder(*list, after, name)
	}
	n := slices.IndexFunc(*list, func(element T) bool { return name(&element) == path[0] })
	if after == nil {
		if n < 0 {
			return ErrNotReproduced
		}
		*list = slices.Delete(*list, n, n+1)
		return nil
	}
	var element T
	if err := json.Unmarshal(after, &element); err != nil {
		return err
	}
	if n >= 0 {
		(*list)[n] = element
		return nil
	}
	*list = append(*list, element)
	return nil
}

func reorder[T any](list []T, after json.RawMessage, name func(*T) string) error {
	var paths []string
	if err := json.Unmarshal(after, &paths); err != nil {
		return err
	}
	position := make(map[string]int, len(paths))
	for n, path := range paths {
		position[path[strings.LastIndex(path, "/")+1:]] = n
	}
	slices.SortStableFunc(list, func(a, b T) int { return position[name(&a)] - position[name(&b)] })
	return nil
}
