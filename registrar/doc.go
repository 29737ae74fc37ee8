// Package registrar builds the tables of an instance from the configuration and
// the list of backend servers that it reads from an egretflow.Directory.
//
// # Usage
//
//	r := registrar.New(registrar.Config{Directory: directory, Clock: clock, Recorder: recorder, Instance: name})
//	r.Subscribe(scheduler.Apply)
//	err := r.Run(ctx)
//
// # Rules
//
//  1. The configuration comes from a configwatcher.Watcher, which decides when it is
//     read and accepts only higher versions.
//  2. The list of backend servers is read every ReadInterval. A server that is
//     registered as leaving, or is no longer registered, gets no new work after
//     that read (I6).
//  3. While the platform cannot be read, the last tables stay in force.
//     Registrations may expire during the outage although their servers are up.
//     A server that is missing after the outage is therefore kept until
//     ReregistrationGrace has passed, or until a peer confirms exactly the list
//     that this instance has read. One whose registration is there but names no
//     server to use counts as gone at once. After the store has come back from an
//     older copy, each instance keeps what it knows for that time, and tells its peers
//     the list as it was read. Servers that had departed before, and that the copy
//     lists as usable, get no work.
//  4. Before the first configuration there are no tables.
//  5. In a fleet the instance with rank 0 reads the directory for all instances.
//     It sends them a fingerprint of the server list and the latest changes to it.
//     The other instances apply the changes. One of them reads the directory itself if the changes do not lead
//     to the same fingerprint, or if nobody has confirmed its server list for
//     some time; instances with a lower rank do so earlier.
//     An instance reports only the age of its own last successful read, never a
//     confirmation that it has received.
//  6. Reads are ordered by the version of the platform's store, its era first. A list
//     that was read or received with an older version than the known one is ignored.
//     Changes lead from one list to the next only within an era. What an instance of
//     an earlier build says names no era: it may confirm an equal list, and a
//     different one makes this instance read once.
//  7. A server that states in a response that it is leaving gets no new work from
//     this instance, whatever the list says, until it is no longer listed or has
//     started again.
package registrar
