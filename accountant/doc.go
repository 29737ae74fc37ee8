// Package accountant counts what organisations use of their quotas, for the whole
// fleet. See docs/design/quota.md.
//
// # Usage
//
//	a := accountant.New(accountant.Config{Self: self, Conn: conn, Members: members, Instances: instances, ...})
//	go a.Run(ctx)
//	a.Apply(tables)
//	charge, err := a.Spend(ctx, organisation, cost) // implements egretflow.QuotaSpender
//	a.Refund(charge)                                // only if the request has not run
//
// # Rules
//
//  1. Organisations are grouped into shards. The first live member in the ranking of a
//     shard owns it and alone counts, by its own tables. Without Config.Conn the
//     instance owns all shards.
//  2. An instance asks the owner for each request. A message carries all questions that
//     wait and all refunds that were not acknowledged, so a lost, repeated or reordered
//     datagram does no harm. While one is unanswered, new questions wait for the answer
//     or the resend. Without questions a message is sent each heartbeatInterval.
//  3. An owner grants at its share of the fleet: its votes divided by the instances. The
//     size of its buckets and their rate are that share of the quota. All buckets are cut
//     when the share shrinks.
//  4. An instance votes for one owner of a shard at a time. Messages repeat the newest
//     stamp of the owner, and a vote is valid for voteLifetime after the stamp on the
//     clock of the owner. The instance votes elsewhere only voteLifetime and voteMargin
//     after it received the stamp, or once the owner has confirmed the release.
//  5. An owner decides nothing for a message without a valid stamp. A stamp that is older
//     on the clock of the voter than on that of the owner shows that the process of the
//     owner was suspended: it drops all votes.
//  6. An instance that turns to another owner gives it its part of the takeover allowance,
//     at most once a window, so that requests are served until the votes have moved.
//  7. An instance that gets no answer for failoverTimeout turns to the next member in the
//     ranking, and after maxFailovers to itself for selfPeriod.
//  8. A refund removes the charge from the time at which it was made, and only at the
//     process that was charged.
package accountant
