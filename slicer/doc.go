// Package slicer divides the fleet into slices, bounded sets of instances that
// share backend servers with each other only (5.3). State and messages of an
// instance then do not grow with the fleet.
//
// Everything here is a pure function of the list of members, the tables and
// the number of slices per region, so all instances with the same inputs come
// to the same result without messages.
//
// # Usage
//
//	s := slicer.New(self)
//	plan := s.Plan(members, tables)
//	owner := slicer.Owner(server, reachable)
//
// # Rules
//
//  1. The number of slices of a region is the number of its members divided by
//     8, rounded, at least 1. It is kept while slices have 6 to 11 members on
//     average, so single joins and leaves do not change it. An instance without
//     history adopts the number that its peers report ([Slicer.Adopt]); of
//     two acceptable numbers the higher is adopted, so all converge.
//  2. Members and servers choose slices by rendezvous hashing under quotas. Each
//     slice gets the same number, give or take one, and at most its even share
//     of each failure domain as far as the totals allow it. A join or leave
//     moves only those that a quota displaces.
//  3. Servers are divided per pool and role. If every region has servers of the
//     group, each region divides its own; otherwise all slices of the fleet
//     divide all servers of the group. A server belongs to the region of the
//     instances in its failure domain.
//  4. With at least as many servers as slices every slice gets one or more
//     whole servers. With fewer, each slice uses one server, and the slots of a
//     server are divided between its slices.
//  5. The owner of a server is the member of the slice with the highest
//     rendezvous score among those reachable.
//  6. Each member has one contact in another slice. Contacts of the members of a
//     slice lie 1, 2, 4, ... slices ahead, so a revision reaches every slice in
//     a number of steps that grows with the logarithm of the fleet.
package slicer
