package slicer

import (
	"github.com/cespare/xxhash/v2"

	"github.com/egretflow/egretflow"
)

// Owner returns the owner of a server among the given reachable members of the
// slice, or "" if there are none (rule 5).
func Owner(server egretflow.ServerName, members []egretflow.InstanceName) egretflow.InstanceName {
	var best egretflow.InstanceName
	var bestScore uint64
	hash := xxhash.Sum64String(string(server))
	for _, m := range members {
		s := score(hash, xxhash.Sum64String(string(m)))
		if best == "" || s > bestScore || s == bestScore && m < best {
			best, bestScore = m, s
		}
	}
	return best
}
