package slicer

import (
	"cmp"
	"slices"

	"github.com/egretflow/egretflow"
)

// The average number of members per slice: the target for a new division, and the
// bounds within which the number of slices is kept (rule 1).
const (
	targetMembers = 8
	minMembers    = 6
	maxMembers    = 11
)

// ServerShare is the part of a server that a slice may use.
type ServerShare struct {
	Server *egretflow.Server
	Pool   egretflow.PoolName
	Kind   egretflow.PoolKind
	// Slots is at most Server.Slots, and less if Shared.
	Slots int
	// Shared reports whether other slices use the server too.
	Shared bool
}

// Plan is the slice of one instance.
type Plan struct {
	// Slices is the number of slices of the instance's region.
	Slices int
	// Index numbers the slice within the region.
	Index int
	// Members holds the members of the slice, including this instance, sorted by
	// name.
	Members []egretflow.Member
	// Servers holds the shares of the slice, sorted by server name.
	Servers []ServerShare
	// Contact is a member of another slice, or nil if there is none (rule 6).
	Contact *egretflow.Member
}

// Slicer computes the slice of one instance. It keeps the number of slices per
// region between calls. It is not safe for concurrent use.
type Slicer struct {
	self   egretflow.InstanceName
	region egretflow.Region
	// counts holds the number of slices per region.
	counts map[egretflow.Region]int
	// regions maps failure domains to regions. A domain that has lost all its
	// members keeps its region, so that its servers stay with the same slices.
	regions     map[egretflow.FailureDomain]egretflow.Region
	assignments map[group]cachedAssignment
}

// New returns a slicer for an instance in a region, without a previous number of
// slices.
func New(self egretflow.InstanceName, region egretflow.Region) *Slicer {
	return &Slicer{
		self:        self,
		region:      region,
		counts:      map[egretflow.Region]int{},
		regions:     map[egretflow.FailureDomain]egretflow.Region{},
		assignments: map[group]cachedAssignment{},
	}
}

// AdoptSliceCount applies the number of slices that a member of this instance's
// region reports, if it is higher than the current one. The next Plan keeps it
// if it is acceptable for the number of members then (rule 1).
func (s *Slicer) AdoptSliceCount(slicesReported int) {
	s.counts[s.region] = max(s.counts[s.region], slicesReported)
}

// Plan returns the slice of this instance, which must be in members: if it is not,
// the result is empty. With nil tables the result has no servers.
func (s *Slicer) Plan(members []egretflow.Member, tables *egretflow.Tables) Plan {
	f := s.sliceFleet(members)
	index := slices.IndexFunc(f.slices, func(members []egretflow.Member) bool { return indexOf(members, s.self) >= 0 })
	if index < 0 {
		return Plan{}
	}
	p := Plan{Slices: s.counts[s.region], Index: index - f.first[s.region], Members: f.slices[index], Contact: f.contact(index, s.self)}
	if tables != nil {
		p.Servers = s.servers(f, index, tables)
	}
	return p
}

// nextCount returns the number of slices for n members, given the previous number
// or 0 (rule 1).
func nextCount(n, previous int) int {
	if previous > 0 && n >= previous*minMembers && n <= previous*maxMembers {
		return previous
	}
	if previous == 1 && n < minMembers {
		return 1
	}
	return max(1, (n+targetMembers/2)/targetMembers)
}

// fleetSlices is the division of all members into slices.
type fleetSlices struct {
	// slices holds the members of each slice, region by region.
	slices [][]egretflow.Member
	// first is the index of the first slice of a region in slices, and count the
	// number of slices of the region.
	first map[egretflow.Region]int
	count map[egretflow.Region]int
}

// sliceFleet divides the members and updates the regions and numbers of slices that
// s keeps.
func (s *Slicer) sliceFleet(members []egretflow.Member) fleetSlices {
	f := fleetSlices{first: map[egretflow.Region]int{}, count: map[egretflow.Region]int{}}
	for _, m := range members {
		s.regions[m.FailureDomain] = m.Region
	}
	sorted := slices.SortedFunc(slices.Values(members), func(a, b egretflow.Member) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Name, b.Name))
	})
	for len(sorted) > 0 {
		region := sorted[0].Region
		end := slices.IndexFunc(sorted, func(m egretflow.Member) bool { return m.Region != region })
		if end < 0 {
			end = len(sorted)
		}
		count := nextCount(end, s.counts[region])
		s.counts[region] = count
		f.addRegion(region, sorted[:end], count)
		sorted = sorted[end:]
	}
	return f
}

// addRegion divides the members of one region into count slices.
func (f *fleetSlices) addRegion(region egretflow.Region, members []egretflow.Member, count int) {
	items := make([]item, len(members))
	for n, m := range members {
		items[n] = newItem(string(m.Name), string(m.FailureDomain))
	}
	first := len(f.slices)
	f.first[region], f.count[region] = first, count
	f.slices = append(f.slices, make([][]egretflow.Member, count)...)
	for n, b := range assign(items, numberedBins(count)) {
		f.slices[first+b] = append(f.slices[first+b], members[n])
	}
}

// contact returns the contact of a member of the given slice, or nil if there is
// only one slice or the target slice has no members (rule 6).
func (f *fleetSlices) contact(sliceIndex int, self egretflow.InstanceName) *egretflow.Member {
	total := len(f.slices)
	if total < 2 {
		return nil
	}
	position := indexOf(f.slices[sliceIndex], self)
	distance := 1
	for range position {
		if distance *= 2; distance >= total {
			distance = 1
		}
	}
	target := f.slices[(sliceIndex+distance)%total]
	if len(target) == 0 {
		return nil
	}
	return &target[position%len(target)]
}

// indexOf returns the index of the named member, or -1.
func indexOf(members []egretflow.Member, name egretflow.InstanceName) int {
	return slices.IndexFunc(members, func(m egretflow.Member) bool { return m.Name == name })
}
