package egretflow

import (
	"fmt"
	"slices"
	"strings"
)

// Importance says how important a route is. Requests of lower importance are
// refused first under overload.
type Importance string

// The levels of importance, the most important first.
const (
	ImportanceCritical Importance = "Critical"
	ImportanceHigh     Importance = "High"
	ImportanceNormal   Importance = "Normal"
	ImportanceLow      Importance = "Low"
)

// Importances lists all levels of importance, the most important first.
var Importances = []Importance{ImportanceCritical, ImportanceHigh, ImportanceNormal, ImportanceLow}

// Rank returns 0 for the most important level and 3 for the least important
// one. Unknown values rank last.
func (i Importance) Rank() int {
	switch i {
	case ImportanceCritical:
		return 0
	case ImportanceHigh:
		return 1
	case ImportanceNormal:
		return 2
	}
	return 3
}

// UnmarshalText accepts only known levels of importance.
func (i *Importance) UnmarshalText(text []byte) error {
	return decodeEnum(i, text, Importances)
}

// PoolKind distinguishes pools of model engines from pools of other services.
type PoolKind string

// The pool kinds.
const (
	PoolKindModel   PoolKind = "Model"
	PoolKindService PoolKind = "Service"
)

// UnmarshalText accepts only known pool kinds.
func (k *PoolKind) UnmarshalText(text []byte) error {
	return decodeEnum(k, text, []PoolKind{PoolKindModel, PoolKindService})
}

// Role is the part of the work that a backend server does: prefill, decode, or
// calls of a service.
type Role string

// The roles.
const (
	RolePrefill Role = "Prefill"
	RoleDecode  Role = "Decode"
	RoleService Role = "Service"
)

// UnmarshalText accepts only known roles.
func (r *Role) UnmarshalText(text []byte) error {
	return decodeEnum(r, text, []Role{RolePrefill, RoleDecode, RoleService})
}

// RunState says whether the backend work of a refused or failed request ran
// (4.3).
type RunState string

// The run states.
const (
	// RunStateNotRun means that the work has certainly not run and will not
	// run.
	RunStateNotRun RunState = "NotRun"
	// RunStateMayHaveRun means that it is unknown whether the work ran.
	RunStateMayHaveRun RunState = "MayHaveRun"
	// RunStateRan means that the work ran.
	RunStateRan RunState = "Ran"
)

// UnmarshalText accepts only known run states.
func (s *RunState) UnmarshalText(text []byte) error {
	return decodeEnum(s, text, []RunState{RunStateNotRun, RunStateMayHaveRun, RunStateRan})
}

// ClaimState is the state of the claim on a non-idempotent request (7.2).
type ClaimState string

// The claim states.
const (
	// ClaimStateClaimed means that the holder may run the request.
	ClaimStateClaimed ClaimState = "Claimed"
	// ClaimStateDone means that the outcome is recorded.
	ClaimStateDone ClaimState = "Done"
	// ClaimStateNotRun means that the request has certainly not run.
	ClaimStateNotRun ClaimState = "NotRun"
	// ClaimStateUnknown means that the request may have run.
	ClaimStateUnknown ClaimState = "Unknown"
)

// UnmarshalText accepts only known claim states.
func (s *ClaimState) UnmarshalText(text []byte) error {
	return decodeEnum(s, text, []ClaimState{ClaimStateClaimed, ClaimStateDone, ClaimStateNotRun, ClaimStateUnknown})
}

// MemberState is the state of an instance or backend server in the platform's
// list.
type MemberState string

// The member states.
const (
	MemberStateLive    MemberState = "Live"
	MemberStateLeaving MemberState = "Leaving"
)

// UnmarshalText accepts only known member states.
func (s *MemberState) UnmarshalText(text []byte) error {
	return decodeEnum(s, text, []MemberState{MemberStateLive, MemberStateLeaving})
}

func decodeEnum[T ~string](dst *T, text []byte, known []T) error {
	value := T(text)
	if !slices.Contains(known, value) {
		names := make([]string, len(known))
		for n, k := range known {
			names[n] = string(k)
		}
		return fmt.Errorf("unknown value %q, want one of %s", string(text), strings.Join(names, ", "))
	}
	*dst = value
	return nil
}
