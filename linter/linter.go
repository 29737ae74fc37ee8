// Package linter finds entries of tables that are valid but cannot work as written, and
// the lines of a file that errors and findings are about.
//
// # Usage
//
//	tables, err := editor.DecodeTables(data)
//	for _, f := range linter.Check(tables) {
//		fmt.Printf("%d: %s %s: %s\n", linter.LineOf(data, f.Field), f.Severity, f.Field, f.Reason)
//	}
//
// # Rules
//
//  1. Check reports no error that egretflow.Tables.Check reports. It may be given tables
//     that Tables.Check has not seen, such as those of a platform, whose pools list no
//     servers; what depends on servers is not checked then.
//  2. An Error names an entry with which requests fail. A Warning names one that has no
//     effect, or limits that contradict each other.
//  3. Findings are in the order of the tables.
package linter

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/egretflow/egretflow"
)

// Severity says how bad a finding is.
type Severity string

// The severities.
const (
	SeverityError   Severity = "Error"
	SeverityWarning Severity = "Warning"
)

// Finding is one entry that cannot work as written.
type Finding struct {
	Severity Severity
	// Field is the path of the entry, such as Routes[2].PathPrefix.
	Field  string
	Reason string
	// Line is the line of the entry in the file, from 1; 0 if unknown.
	Line int `json:",omitempty"`
}

// check collects the findings of one call of Check.
type check struct {
	tables   *egretflow.Tables
	findings []Finding
}

// Check returns what cannot work in t as written.
func Check(t *egretflow.Tables) []Finding {
	c := &check{tables: t}
	for n := range t.Routes {
		c.checkRoute(n)
	}
	for n := range t.Pools {
		c.checkPool(n)
	}
	for n := range t.Organisations {
		c.checkOrganisation(n)
	}
	c.checkQuotaSum()
	return c.findings
}

func (c *check) warn(field, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: SeverityWarning, Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (c *check) fail(field, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: SeverityError, Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (c *check) checkRoute(n int) {
	r, field := &c.tables.Routes[n], fmt.Sprintf("Routes[%d]", n)
	c.checkRoutePools(r, field)
	c.checkRouteMatches(n, field)
	c.checkRouteLimits(r, field)
	c.checkRouteCallers(r, field)
}

// checkRouteCallers finds a route that no organisation may use.
func (c *check) checkRouteCallers(r *egretflow.Route, field string) {
	allowed := func(o egretflow.Organisation) bool { return r.Allows(o.Name) }
	if len(c.tables.Organisations) == 0 || r.Public || slices.ContainsFunc(c.tables.Organisations, allowed) {
		return
	}
	c.warn(field+".Callers", "names no organisation of the tables, so that only callers with a key in a file can use the route")
}

// checkRoutePools finds pools that do not exist and shares that get no requests.
func (c *check) checkRoutePools(r *egretflow.Route, field string) {
	if _, ok := c.tables.Pool(r.Pool); !ok && len(r.Shares) == 0 {
		c.fail(field+".Pool", "pool %q does not exist", r.Pool)
	}
	for n, s := range r.Shares {
		at := fmt.Sprintf("%s.Shares[%d]", field, n)
		if _, ok := c.tables.Pool(s.Pool); !ok {
			c.fail(at+".Pool", "pool %q does not exist", s.Pool)
		}
		if s.Weight <= 0 {
			c.warn(at+".Weight", "pool %q gets no requests", s.Pool)
		}
	}
}

// checkRouteMatches finds a route that no request reaches.
func (c *check) checkRouteMatches(n int, field string) {
	r := &c.tables.Routes[n]
	if r.PathPrefix != "" && !strings.HasPrefix(r.PathPrefix, "/") {
		c.warn(field+".PathPrefix", "never matches, because each path starts with /")
		return
	}
	for m := range n {
		if earlier := &c.tables.Routes[m]; hides(earlier, r) {
			c.warn(field, "never matches, because route %q takes all its requests", earlier.Name)
			return
		}
	}
}

// hides reports whether earlier takes all requests that r could serve.
func hides(earlier, r *egretflow.Route) bool {
	if earlier.Host != r.Host || !admitsAll(earlier, r) {
		return false
	}
	if len(r.Models) > 0 {
		return !slices.ContainsFunc(r.Models, func(m egretflow.ModelName) bool { return !slices.Contains(earlier.Models, m) })
	}
	return r.PathPrefix != "" && earlier.PathPrefix == r.PathPrefix && takesMethods(earlier, r)
}

// admitsAll reports whether earlier admits all callers of r.
func admitsAll(earlier, r *egretflow.Route) bool {
	return !slices.ContainsFunc(r.Callers, func(caller egretflow.CallerName) bool { return !earlier.Allows(caller) })
}

func takesMethods(earlier, r *egretflow.Route) bool {
	if len(earlier.Methods) == 0 {
		return true
	}
	return len(r.Methods) > 0 && !slices.ContainsFunc(r.Methods, func(m string) bool { return !slices.Contains(earlier.Methods, m) })
}

// checkRouteLimits finds limits of a route that contradict each other.
func (c *check) checkRouteLimits(r *egretflow.Route, field string) {
	for _, limit := range []struct {
		name  string
		value egretflow.Duration
	}{{"Timeout", r.Timeout}, {"Patience", r.Patience}} {
		if limit.value > 0 && limit.value < r.FirstTokenTarget {
			c.warn(field+"."+limit.name, "%v is less than the first-token target of %v", time.Duration(limit.value), time.Duration(r.FirstTokenTarget))
		}
	}
	if r.Timeout > 0 && r.EventGapTarget > r.Timeout {
		c.warn(field+".EventGapTarget", "%v is more than the timeout of %v", time.Duration(r.EventGapTarget), time.Duration(r.Timeout))
	}
	pool, ok := c.tables.Pool(r.Pool)
	if ok && len(r.Shares) == 0 && len(pool.Servers) > 0 && r.MaxAttempts > len(pool.Servers) {
		c.warn(field+".MaxAttempts", "%d is more than the %d servers of pool %q", r.MaxAttempts, len(pool.Servers), pool.Name)
	}
}

func (c *check) checkPool(n int) {
	p, field := &c.tables.Pools[n], fmt.Sprintf("Pools[%d]", n)
	if !slices.ContainsFunc(c.tables.Routes, func(r egretflow.Route) bool { return leadsTo(&r, p.Name) }) {
		c.warn(field, "no route leads to pool %q", p.Name)
	}
	for _, role := range []egretflow.Role{egretflow.RolePrefill, egretflow.RoleDecode, egretflow.RoleService} {
		if allDraining(p, role) {
			c.fail(field+".Servers", "all %s servers of pool %q are draining", role, p.Name)
		}
	}
}

// allDraining reports whether the pool has servers of the role, and none that takes new
// requests.
func allDraining(p *egretflow.Pool, role egretflow.Role) bool {
	listed := false
	for n := range p.Servers {
		s := &p.Servers[n]
		if s.Role == role && !s.Drain {
			return false
		}
		listed = listed || s.Role == role
	}
	return listed
}

// leadsTo reports whether the route sends requests to the pool.
func leadsTo(r *egretflow.Route, pool egretflow.PoolName) bool {
	if len(r.Shares) == 0 {
		return r.Pool == pool
	}
	return slices.ContainsFunc(r.Shares, func(s egretflow.PoolShare) bool { return s.Pool == pool && s.Weight > 0 })
}

func (c *check) checkOrganisation(n int) {
	o, field := &c.tables.Organisations[n], fmt.Sprintf("Organisations[%d]", n)
	if len(o.Keys) == 0 {
		c.warn(field+".Keys", "organisation %q has no key, so that nobody can send requests for it", o.Name)
	}
	if !slices.ContainsFunc(c.tables.Routes, func(r egretflow.Route) bool { return r.Allows(o.Name) }) {
		c.warn(field, "no route admits organisation %q", o.Name)
	}
	if q := o.Quota; q != nil {
		smallest := float64(q.Cost(0, 0))
		if smallest == 0 {
			c.warn(field+".Quota.CallTokens", "requests that state no tokens are not limited")
		}
		if q.Burst < smallest {
			c.warn(field+".Quota.Burst", "%g is less than one request, which counts as %g", q.Burst, smallest)
		}
	}
}

// checkQuotaSum finds quotas that together exceed what the pools can prefill, so that the
// quotas alone protect no organisation from another. It reports nothing if a prefill
// server states no rate.
func (c *check) checkQuotaSum() {
	var quotas float64
	for n := range c.tables.Organisations {
		if q := c.tables.Organisations[n].Quota; q != nil && q.Unit == egretflow.QuotaUnitTokens {
			quotas += q.PerSecond
		}
	}
	rate, known := c.prefillRate()
	if known && quotas > rate {
		c.warn("Organisations", "quotas of %.0f tokens/s in all exceed the %.0f tokens/s that the prefill servers compute", quotas, rate)
	}
}

// prefillRate returns the nominal prefill rate of all pools in tokens/s. known is false if
// a prefill server states no rate, or if there is none.
func (c *check) prefillRate() (rate float64, known bool) {
	for n := range c.tables.Pools {
		for k := range c.tables.Pools[n].Servers {
			s := &c.tables.Pools[n].Servers[k]
			if s.Role != egretflow.RolePrefill {
				continue
			}
			if s.PrefillTokensPerSecond == 0 {
				return 0, false
			}
			rate += float64(s.PrefillTokensPerSecond)
		}
	}
	return rate, rate > 0
}
