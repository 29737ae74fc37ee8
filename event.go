package egretflow

import "time"

// EventName names a kind of event in logs and explanations (11).
type EventName string

// The kinds of events.
const (
	EventAdmitted            EventName = "Admitted"
	EventRefused             EventName = "Refused"
	EventPlaceRefused        EventName = "PlaceRefused"
	EventAssigned            EventName = "Assigned"
	EventPostponed           EventName = "Postponed"
	EventPrefillDone         EventName = "PrefillDone"
	EventFirstToken          EventName = "FirstToken"
	EventCompleted           EventName = "Completed"
	EventCancelled           EventName = "Cancelled"
	EventRetried             EventName = "Retried"
	EventReplacementRefused  EventName = "ReplacementRefused"
	EventHedged              EventName = "Hedged"
	EventHedgeRefused        EventName = "HedgeRefused"
	EventResumed             EventName = "Resumed"
	EventAttemptFailed       EventName = "AttemptFailed"
	EventSilentConnection    EventName = "SilentConnection"
	EventAnswerMismatch      EventName = "AnswerMismatch"
	EventSuspectServer       EventName = "SuspectServer"
	EventServerRecovered     EventName = "ServerRecovered"
	EventCrashSuspect        EventName = "CrashSuspect"
	EventCrashesUnsaved      EventName = "CrashesUnsaved"
	EventRevisionInForce     EventName = "RevisionInForce"
	EventRevisionUnconfirmed EventName = "RevisionUnconfirmed"
	EventServerFound         EventName = "ServerFound"
	EventServerChanged       EventName = "ServerChanged"
	EventServerLeaving       EventName = "ServerLeaving"
	EventServerGone          EventName = "ServerGone"
	EventServerPaused        EventName = "ServerPaused"
	EventServerLost          EventName = "ServerLost"
	EventServerInvalid       EventName = "ServerInvalid"
	EventRegistrationFailed  EventName = "RegistrationFailed"
	EventMemberJoined        EventName = "MemberJoined"
	EventMemberLost          EventName = "MemberLost"
	EventMemberRoleChanged   EventName = "MemberRoleChanged"
	EventRelayChanged        EventName = "RelayChanged"
	EventGrantLapsed         EventName = "GrantLapsed"
	EventOwnerChanged        EventName = "OwnerChanged"
	EventClaimed             EventName = "Claimed"
	EventClaimDone           EventName = "ClaimDone"
	EventClaimRefused        EventName = "ClaimRefused"
	EventOrderSent           EventName = "OrderSent"
	EventOrderRefused        EventName = "OrderRefused"
	EventOrderRepaired       EventName = "OrderRepaired"
	EventLeaseAcquired       EventName = "LeaseAcquired"
	EventLeaseFailed         EventName = "LeaseFailed"
	EventLeaseLost           EventName = "LeaseLost"
	EventLeaseReleased       EventName = "LeaseReleased"
	EventAccessDenied        EventName = "AccessDenied"
	EventShutdownStarted     EventName = "ShutdownStarted"
	EventShutdownDone        EventName = "ShutdownDone"
	EventConfigurationUnread EventName = "ConfigurationUnread"
	EventNewerVersionKnown   EventName = "NewerVersionKnown"
	EventStoreUnavailable    EventName = "StoreUnavailable"
	EventStoreAvailable      EventName = "StoreAvailable"
	EventStoreAccessChanged  EventName = "StoreAccessChanged"
	EventOldReading          EventName = "OldReading"
	EventStoreEraChanged     EventName = "StoreEraChanged"
	EventLinesDropped        EventName = "LinesDropped"
	EventInvariantViolated   EventName = "InvariantViolated"
	EventReloaded            EventName = "Reloaded"
	EventReloadFailed        EventName = "ReloadFailed"
	EventStarted             EventName = "Started"
	EventCleanupFailed       EventName = "CleanupFailed"
	EventPanicked            EventName = "Panicked"
	EventConnectionFailed    EventName = "ConnectionFailed"
	EventDelegated           EventName = "Delegated"
	EventCoordinatorSilent   EventName = "CoordinatorSilent"
	EventCoordinatorChanged  EventName = "CoordinatorChanged"
	EventDatagramRefused     EventName = "DatagramRefused"
	EventQuotaReached        EventName = "QuotaReached"
	EventQuotaCleared        EventName = "QuotaCleared"
	EventQuotaOwnerSilent    EventName = "QuotaOwnerSilent"
	EventQuotaOwnerChanged   EventName = "QuotaOwnerChanged"
	EventQuotaDetached       EventName = "QuotaDetached"
	EventQuotaAttached       EventName = "QuotaAttached"
)

// Event is one thing that happened, as logged and as stored for explanations.
type Event struct {
	Name     EventName
	At       time.Time
	Instance InstanceName
	Request  RequestID  `json:",omitempty"`
	Attempt  AttemptID  `json:",omitempty"`
	Decision DecisionID `json:",omitempty"`
	// Fields holds further key=value pairs in a fixed order.
	Fields []EventField `json:",omitempty"`
}

// EventField is one key=value pair of an event.
type EventField struct {
	Key   string
	Value string
}

// NewEvent returns an event whose fields are pairs of a key and a value.
func NewEvent(name EventName, at time.Time, instance InstanceName, pairs ...string) Event {
	e := Event{Name: name, At: at, Instance: instance}
	for n := 0; n+1 < len(pairs); n += 2 {
		e.Fields = append(e.Fields, EventField{Key: pairs[n], Value: pairs[n+1]})
	}
	return e
}

// Recorder receives events. Implementations must not block.
type Recorder interface {
	Record(e Event)
}

// Invariant names one of the invariants of section 1.1.
type Invariant string

// The invariants. Their values appear in logs and metrics.
const (
	// InvariantMemoryFreed means that slots, blocks and streams at the servers
	// are freed when a request ends.
	InvariantMemoryFreed Invariant = "I1MemoryFreed"
	// InvariantAnsweredOnce means that a request gets no second answer.
	InvariantAnsweredOnce Invariant = "I2AnsweredOnce"
	// InvariantWholeAnswer means that a response marked as complete is
	// complete.
	InvariantWholeAnswer Invariant = "I3WholeAnswer"
	// InvariantNotRunTrue means that work refused with RunStateNotRun ran on no
	// server.
	InvariantNotRunTrue Invariant = "I4NotRunTrue"
	// InvariantAtMostOnce means that a non-idempotent request runs at most once
	// and that its repetitions get the first outcome.
	InvariantAtMostOnce Invariant = "I5AtMostOnce"
	// InvariantLeavingServer means that a leaving server gets no new work.
	InvariantLeavingServer Invariant = "I6LeavingServer"
	// InvariantNoCutOnShutdown means that the shutdown of an instance does not
	// cut requests.
	InvariantNoCutOnShutdown Invariant = "I7NoCutOnShutdown"
	// InvariantNoRevert means that the revision in use never decreases.
	InvariantNoRevert Invariant = "I8NoRevert"
	// InvariantReservedFirst means that no prefill starts without a decode
	// reservation (5.2).
	InvariantReservedFirst Invariant = "R52ReservedFirst"
	// InvariantWithinGrant means that slots are taken only under an unexpired
	// grant (5.3).
	InvariantWithinGrant Invariant = "R53WithinGrant"
	// InvariantReleasedOnce means that each assignment is released exactly
	// once.
	InvariantReleasedOnce Invariant = "ReleasedOnce"
)

// Checker counts and reports violations of invariants. Check does nothing when
// holds is true; detail describes the violation.
type Checker interface {
	Check(i Invariant, holds bool, request RequestID, detail string)
}
