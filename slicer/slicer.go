package slicer

import (
	"cmp"
	"slices"

	"github.com/egretflow/egretflow"
)

// The sizes of slices.
const (
	targetMembers = 8
	minMembers    = 6
	maxMembers    = 11
)

// Share is what a slice may use of a server.
type Share struct {
	Server *egretflow.Server
	Pool   egretflow.PoolName
	Kind   egretflow.PoolKind
	// Slots is at most Server.Slots, and less if Shared.
	Slots int
	// Shared says that other slices use the server too.
	Shared bool
}

// Plan is the slice of one instance.
type Plan struct {
	// Slices is the number of slices of the instance's region.
	Slices int
	// Index numbers the slice within the region.
	Index int
	// Members lists the members of the slice with the own instance, by name.
	Members []egretflow.Member
	// Servers is sorted by name.
	Servers []Share
	// Contact is a member of another slice, or nil if there is none.
	Contact *egretflow.Member
}

// Slicer keeps the number of slices per region. It is not safe for concurrent
// use.
type Slicer struct {
	self   egretflow.InstanceName
	region egretflow.Region
	counts map[egretflow.Region]int
	// regions maps failure domains to regions. A domain that has lost all its
	// members keeps its region, so that its servers stay with the same slices.
	regions map[egretflow.FailureDomain]egretflow.Region
	groups  map[group]cachedGroup
}

// New returns a slicer without history for an instance in a region.
func New(self egretflow.InstanceName, region egretflow.Region) *Slicer {
	return &Slicer{
		self:    self,
		region:  region,
		counts:  map[egretflow.Region]int{},
		regions: map[egretflow.FailureDomain]egretflow.Region{},
		groups:  map[group]cachedGroup{},
	}
}

// Adopt takes the number of slices that a member of the own region reports.
// It takes effect with the next Plan, if it suits the members then.
func (s *Slicer) Adopt(slicesReported int) {
	s.counts[s.region] = max(s.counts[s.region], slicesReported)
}

// Plan returns the slice of the own instance, which must be in members.
func (s *Slicer) Plan(members []egretflow.Member, tables *egretflow.Tables) Plan {
	f := s.fleet(members)
	own := slices.IndexFunc(f.slices, func(members []egretflow.Member) bool { return indexOf(members, s.self) >= 0 })
	if own < 0 {
		return Plan{}
	}
	p := Plan{Slices: s.counts[s.region], Index: own - f.first[s.region], Members: f.slices[own], Contact: f.contact(own, s.self)}
	if tables != nil {
		p.Servers = s.servers(f, own, tables)
	}
	return p
}

// nextCount returns the number of slices for n members (rule 1).
func nextCount(n, previous int) int {
	if previous > 0 && n >= previous*minMembers && n <= previous*maxMembers {
		return previous
	}
	if previous == 1 && n < minMembers {
		return 1
	}
	return max(1, (n+targetMembers/2)/targetMembers)
}

// fleet is the division of all members.
type fleet struct {
	// slices holds the members of each slice, region by region.
	slices [][]egretflow.Member
	// first and count locate the slices of a region.
	first map[egretflow.Region]int
	count map[egretflow.Region]int
}

func (s *Slicer) fleet(members []egretflow.Member) fleet {
	f := fleet{first: map[egretflow.Region]int{}, count: map[egretflow.Region]int{}}
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

func (f *fleet) addRegion(region egretflow.Region, members []egretflow.Member, count int) {
	items := make([]item, len(members))
	for n, m := range members {
		items[n] = newItem(string(m.Name), string(m.FailureDomain))
	}
	first := len(f.slices)
	f.first[region], f.count[region] = first, count
	f.slices = append(f.slices, make([][]egretflow.Member, count)...)
	for n, b := range assign(items, numbered(count)) {
		f.slices[first+b] = append(f.slices[first+b], members[n])
	}
}

// contact returns the contact of a member in another slice (rule 6).
func (f *fleet) contact(own int, self egretflow.InstanceName) *egretflow.Member {
	total := len(f.slices)
	if total < 2 {
		return nil
	}
	index := indexOf(f.slices[own], self)
	distance := 1
	for range index {
		if distance *= 2; distance >= total {
			distance = 1
		}
	}
	target := f.slices[(own+distance)%total]
	if len(target) == 0 {
		return nil
	}
	return &target[index%len(target)]
}

func indexOf(members []egretflow.Member, name egretflow.InstanceName) int {
	return slices.IndexFunc(members, func(m egretflow.Member) bool { return m.Name == name })
}
