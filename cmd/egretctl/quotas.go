package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/egretflow/egretflow"
)

// fleetQuota is the state of a quota at all instances that count it.
type fleetQuota struct {
	limit egretflow.Quota
	// limitShare is the share of the instance that limit is from.
	limitShare  float64
	left, share float64
	reached     bool
	owners      []egretflow.InstanceName
}

// collectQuotas sums the states of each organisation's quota. The limit is that of the
// instance that counts for the largest share of the fleet.
func collectQuotas(statuses []instanceStatus) map[egretflow.CallerName]*fleetQuota {
	quotas := map[egretflow.CallerName]*fleetQuota{}
	for n := range statuses {
		for _, s := range statuses[n].Quotas {
			q := quotas[s.Organisation]
			if q == nil {
				q = &fleetQuota{}
				quotas[s.Organisation] = q
			}
			if s.Share > q.limitShare {
				q.limit, q.limitShare = s.Limit, s.Share
			}
			q.left += s.Left
			q.share += s.Share
			q.reached = q.reached || s.Reached
			q.owners = append(q.owners, statuses[n].Name)
		}
	}
	return quotas
}

// owner returns the name of the instance that counts the quota, or how many do.
func (q *fleetQuota) owner() string {
	if len(q.owners) == 1 {
		return string(q.owners[0])
	}
	return fmt.Sprintf("%d instances", len(q.owners))
}

// printQuotas prints a table of the organisations with a limit, if there are any.
func (a *app) printQuotas(statuses []instanceStatus) error {
	quotas := collectQuotas(statuses)
	if len(quotas) == 0 {
		return nil
	}
	var rows strings.Builder
	rows.WriteString("ORGANISATION\tUNIT\tPER SECOND\tBURST\tLEFT\tREACHED\tSHARE\tOWNER\n")
	for _, name := range slices.Sorted(maps.Keys(quotas)) {
		q := quotas[name]
		fmt.Fprintf(&rows, "%s\t%s\t%g\t%g\t%.0f\t%t\t%.2f\t%s\n", name, q.limit.Unit, q.limit.PerSecond, q.limit.Burst,
			q.left, q.reached, q.share, q.owner())
	}
	return a.printTable(rows.String())
}
