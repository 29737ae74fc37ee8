// Package registrar makes the tables of an instance from the configuration and
// the backend servers of an egretflow.Directory.
//
// # Usage
//
//	r := registrar.New(registrar.Config{Directory: directory, Clock: clock, Recorder: recorder, Instance: name})
//	r.Subscribe(scheduler.Apply)
//	err := r.Run(ctx)
//
// # Rules
//
//  1. A configuration is accepted only if its version is higher than the one in
//     force, so it never reverts (I8).
//  2. Backend servers are read every ReadInterval. A server that is registered
//     as leaving, or no longer registered, takes no new work from then on (I6).
//  3. While the platform cannot be read, the last tables stay in force. Entries
//     may have expired meanwhile although their servers live; a server that is
//     missing after the outage stays until ReturnGrace has passed, or until a
//     peer knows exactly the servers that were read.
//  4. Before the first configuration there are no tables.
//  5. In a fleet the first instance in rank reads for all and tells the others a
//     fingerprint of the servers, what changed lately, and the version of the
//     configuration. Another instance applies the changes; it reads when they do
//     not lead to the same servers, or when nobody has confirmed what it knows for
//     some time, in order of rank.
//     An instance tells the age of its own last reading only, not what it heard.
//  6. Readings are ordered by the revision of the platform's store. What is told or
//     read of a lower revision than the known one is ignored.
package registrar
