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

// ErrNotReproduced means that the changes of an entry, applied to the given base,
// do not result in the document that the edit wrote: the edit had another base.
var ErrNotReproduced = errors.New("changes do not reproduce the document")

// Next applies the entry to base, the tables of the preceding revision, and returns
// the resulting tables and their JSON encoding. It does not modify base. If base
// is not what the edit started from, the error wraps ErrNotReproduced.
func (n *AuditEntry) Next(base *egretflow.Tables) (*egretflow.Tables, []byte, error) {
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

// Apply applies changes returned by Diff to a copy of base, which shares unchanged
// parts with it. This costs far less than decoding a whole document.
func Apply(base *egretflow.Tables, changes []Change) (*egretflow.Tables, error) {
	next := *base
	next.Routes, next.Pools, next.Organisations = slices.Clone(base.Routes), slices.Clone(base.Pools), slices.Clone(base.Organisations)
	replaceNilLists(&next)
	clonedServers := map[egretflow.PoolName]bool{}
	for _, c := range changes {
		if err := c.applyTo(&next, clonedServers); err != nil {
			return nil, fmt.Errorf("apply change of %s: %w", c.Path, err)
		}
	}
	return &next, nil
}

// replaceNilLists replaces nil lists by empty ones. Changes do not distinguish
// them, but their encodings differ, and so would the checksums.
func replaceNilLists(t *egretflow.Tables) {
	if t.Routes == nil {
		t.Routes = []egretflow.Route{}
	}
	if t.Pools == nil {
		t.Pools = []egretflow.Pool{}
	}
}

func routeName(r *egretflow.Route) string               { return string(r.Name) }
func poolName(p *egretflow.Pool) string                 { return string(p.Name) }
func serverName(s *egretflow.Server) string             { return string(s.Name) }
func organisationName(o *egretflow.Organisation) string { return string(o.Name) }

// applyTo applies the change to t. clonedServers holds the pools whose list of
// servers is already a copy and may be modified.
func (c *Change) applyTo(t *egretflow.Tables, clonedServers map[egretflow.PoolName]bool) error {
	segments := splitPath(c.Path)
	switch {
	case len(segments) == 0:
		return ErrNotReproduced
	case segments[0] == "Routes" && len(segments) <= 2:
		return changeList(&t.Routes, segments[1:], c.After, routeName)
	case segments[0] == "Organisations" && len(segments) <= 2:
		return changeList(&t.Organisations, segments[1:], c.After, organisationName)
	case segments[0] != "Pools":
		return ErrNotReproduced
	case len(segments) == 1:
		return changeList(&t.Pools, nil, c.After, poolName)
	}
	pool, exists := t.Pool(egretflow.PoolName(segments[1]))
	switch {
	case len(segments) == 2 && exists && c.After != nil:
		// The change holds the pool without its servers.
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
	if !clonedServers[pool.Name] {
		pool.Servers, clonedServers[pool.Name] = slices.Clone(pool.Servers), true
	}
	return changeList(&pool.Servers, segments[3:], c.After, serverName)
}

// changeList sets the element named by path, or deletes it if after is nil. If path
// is empty, it sorts the list into the order of the paths in after.
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
