// Package slicer divides the fleet into slices, bounded sets of instances that
// share backend servers with each other only (5.3). State and messages of an
// instance then do not grow with the fleet.
//
// The division depends only on the list of members, the tables, the number of
// slices per region and the known regions of failure domains, so all instances
// with the same inputs compute the same result without messages.
//
// # Usage
//
//	s := slicer.New(self, region)
//	plan := s.Plan(members, tables)
//	owner := slicer.Owner(server, reachable)
//
// # Rules
//
//  1. The number of slices of a region is the number of its members divided by
//     8, rounded, at least 1. It is kept while slices have 6 to 11 members on
//     average, so single joins and leaves do not change it. An instance that has
//     no previous number adopts the one that its peers report
//     ([Slicer.AdoptSliceCount]); of two acceptable numbers the higher is
//     adopted, so all converge.
//  2. Members and servers are assigned to slices by rendezvous hashing under
//     quotas. The sizes of slices differ by at most one, and a slice gets at most
//     its even share of each failure domain as far as the totals allow it. A join
//     or leave moves only those that a quota displaces.
//  3. Servers are divided per pool and role. If every region has servers of such
//     a group, each region divides those that belong to it; otherwise all slices
//     of the fleet divide all servers of the group. A server belongs to the
//     region of the instances in its failure domain.
//  4. With at least as many servers as slices every slice gets one or more
//     whole servers. With fewer, each slice uses one server, and the slots of a
//     server are divided between its slices.
//  5. The owner of a server is the member of the slice with the highest
//     rendezvous score among those reachable.
//  6. Each member has one contact in another slice. The contacts of the members
//     of a slice are 1, 2, 4, ... slices further on, so a revision reaches every
//     slice in a number of steps that grows with the logarithm of the fleet size.
package slicer
