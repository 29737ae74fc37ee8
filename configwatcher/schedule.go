package configwatcher

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretflow/egretflow"
)

const (
	// takeoverAfter is the age of the newest confirmation at which the instance with
	// rank 1 reads the configuration itself: one watch and a part of the next.
	takeoverAfter = 1200 * time.Millisecond
	// takeoverStep is how much longer each further rank waits, up to takeoverRanks
	// steps. Instances with a higher rank also retry less often.
	takeoverStep  = 150 * time.Millisecond
	takeoverRanks = 3
	// StaleAfter is the age at which an instance that reads through a relay no longer
	// relies on it: one watch, and one interval between two messages of the relay. Each
	// instance adds its own part of staleSpread, so that the first one that reads can
	// confirm the version to the others.
	StaleAfter  = 2200 * time.Millisecond
	staleSpread = time.Second
	// minReadInterval is the shortest time between two reads for lack of a confirmation:
	// what another instance answers may be no fresher than what this one has.
	minReadInterval = 700 * time.Millisecond
	// retryInterval is the delay after the first failure. Each further one in a row adds
	// the same again, up to maxRetryInterval, or twice that for high ranks.
	retryInterval    = 250 * time.Millisecond
	maxRetryInterval = time.Second
	// relayedRetryInterval is the delay after a failed read of an instance that only
	// lacks a confirmation and reads through a relay. It doubles with each further
	// failure, up to maxRelayedRetryInterval: there are many such instances.
	relayedRetryInterval    = 2 * time.Second
	maxRelayedRetryInterval = 8 * time.Second
)

// activity is what a Watcher does.
type activity string

const (
	activityRead  activity = "Read"
	activityWatch activity = "Watch"
	activityWait  activity = "Wait"
)

// position is the position of the instance in the fleet.
type position struct {
	rank    int
	watches bool
	relayed bool
	// spread is the part of staleSpread that the instance adds.
	spread time.Duration
}

// spread returns a part of staleSpread that differs between instances.
func spread(instance egretflow.InstanceName) time.Duration {
	return time.Duration(xxhash.Sum64String(string(instance)) % uint64(staleSpread))
}

// state is what an instance knows of the configuration and of its attempts to read it.
type state struct {
	egretflow.ConfigurationState
	// knownAt is when KnownVersion was learned.
	knownAt time.Time
	// readDue reports whether the configuration must be read although no newer version
	// is known.
	readDue bool
	// readEndedAt is when the last read ended, with or without success.
	readEndedAt time.Time
	// failures and watchFailures count the failed reads and watches in a row, and
	// watchFailedAt is when the last watch failed.
	failures      int
	watchFailures int
	watchFailedAt time.Time
}

// next returns what is due next, and when.
func (s *state) next(p position) (activity, time.Time) {
	switch {
	case s.Version == 0 || s.readDue || s.Behind():
		return activityRead, s.readEndedAt.Add(RetryAfter(s.failures, p.rank))
	case p.watches:
		return activityWatch, s.watchFailedAt.Add(RetryAfter(s.watchFailures, p.rank))
	case p.relayed:
		return activityRead, later(s.ConfirmedAt.Add(StaleAfter+p.spread), s.readEndedAt.Add(max(minReadInterval, relayedRetryAfter(s.failures))))
	}
	return activityRead, later(s.ConfirmedAt.Add(TakeoverAge(p.rank)), s.readEndedAt.Add(max(minReadInterval, RetryAfter(s.failures, p.rank))))
}

// TakeoverAge returns the age of the newest confirmation at which an instance reads the
// platform itself although it does not read for all.
func TakeoverAge(rank int) time.Duration {
	return takeoverAfter + time.Duration(min(max(0, rank-1), takeoverRanks))*takeoverStep
}

// RetryAfter returns the delay after the given number of failures in a row. Instances with
// a low rank try more often; what they read is sent to the others.
func RetryAfter(failures, rank int) time.Duration {
	longest := maxRetryInterval
	if rank > takeoverRanks {
		longest *= 2
	}
	return min(longest, time.Duration(failures)*retryInterval)
}

// relayedRetryAfter returns the delay after the given number of failures in a row of an
// instance that reads through a relay and is not known to be behind.
func relayedRetryAfter(failures int) time.Duration {
	if failures == 0 {
		return 0
	}
	wait := relayedRetryInterval
	for range failures - 1 {
		wait = min(2*wait, maxRelayedRetryInterval)
	}
	return wait
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// learn notes that a version exists and reports whether it is newer than all known ones.
func (s *state) learn(version uint64, now time.Time) bool {
	if version <= s.KnownVersion {
		return false
	}
	s.KnownVersion, s.knownAt = version, now
	s.failures = 0
	return true
}

// confirm notes that another instance knew a version to be the newest one at the given
// time. It counts if that is the version in force.
func (s *state) confirm(version uint64, at time.Time, by egretflow.InstanceName) {
	if version == s.Version && at.After(s.ConfirmedAt) {
		s.ConfirmedAt, s.ConfirmedBy = at, by
	}
}

// confirmOwn does the same for a read or watch of this instance.
func (s *state) confirmOwn(version uint64, at time.Time, self egretflow.InstanceName) {
	s.confirm(version, at, self)
	if version == s.Version && at.After(s.ReadAt) {
		s.ReadAt = at
	}
}

// advance puts a version in force if it is higher, and reports whether it did (rule 1).
func (s *state) advance(version uint64) bool {
	if version <= s.Version {
		return false
	}
	s.Version = version
	return true
}

// finishRead ends a read that has returned a configuration. It returns false if that is
// older than the newest known one, so that the read must be repeated (rule 5).
func (s *state) finishRead(now time.Time) bool {
	s.readEndedAt = now
	if s.Behind() {
		s.failures++
		return false
	}
	s.KnownVersion = s.Version
	s.readDue, s.failures = false, 0
	return true
}

// fail counts a failed read and returns the number of failures in a row.
func (s *state) fail(now time.Time) int {
	s.failures, s.readEndedAt = s.failures+1, now
	return s.failures
}

// finishWatch ends a watch without a change.
func (s *state) finishWatch() { s.watchFailures = 0 }

// failWatch counts a failed watch (rule 6).
func (s *state) failWatch(now time.Time) {
	s.watchFailures, s.watchFailedAt = s.watchFailures+1, now
	s.readDue = true
}

// knownFor returns for how many milliseconds the version in force, or a newer one, was
// known before; 0 if it was not.
func (s *state) knownFor(now time.Time) string {
	if s.KnownVersion < s.Version {
		return "0"
	}
	return strconv.FormatInt(now.Sub(s.knownAt).Milliseconds(), 10)
}
