package egretflow

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

const (
	// maxCrashVerdicts bounds the verdicts of a CrashRecord, and maxCrashParts their
	// parts together, so that a record takes at most about 100 KB.
	maxCrashVerdicts = 64
	maxCrashParts    = MaxParts
	// maxVerdictServers bounds the servers of a CrashVerdict.
	maxVerdictServers = 16
)

// CrashRecord is what must outlast all instances of what is known of crashes (5.6).
type CrashRecord struct {
	Verdicts []CrashVerdict
}

// CrashMemory is what an instance knows of crashes and has to outlast it.
type CrashMemory interface {
	// CrashRecord returns the verdicts to keep. RestoreCrashes adds kept ones.
	CrashRecord(now time.Time) CrashRecord
	RestoreCrashes(r CrashRecord)
}

// CrashVerdict is a verdict on a request, or on parts of prompts, that crashed servers.
type CrashVerdict struct {
	// Fingerprint is that of the request; 0 for parts.
	Fingerprint uint64 `json:",omitempty"`
	// Parts holds the suspected parts in ascending order. Requests with all of them are
	// affected.
	Parts []PartHash `json:",omitempty"`
	// Servers holds the server of each loss.
	Servers []ServerName
	// Shared reports whether other requests may have caused the second loss.
	Shared bool `json:",omitempty"`
	// Depth is how far, in tokens, the answers had come at most.
	Depth     int `json:",omitempty"`
	ExpiresAt time.Time
}

// UnmarshalJSON decodes and checks a verdict.
func (v *CrashVerdict) UnmarshalJSON(data []byte) error {
	type plain CrashVerdict
	if err := json.Unmarshal(data, (*plain)(v)); err != nil {
		return fmt.Errorf("decode verdict on a crash: %w", err)
	}
	return v.check()
}

func (v *CrashVerdict) check() error {
	switch {
	case (v.Fingerprint == 0) == (len(v.Parts) == 0):
		return &FieldError{Field: "Parts", Reason: "must be set instead of a fingerprint"}
	case len(v.Parts) > maxCrashParts || !slices.IsSorted(v.Parts):
		return &FieldError{Field: "Parts", Reason: "are too many or not in order"}
	case len(v.Servers) == 0 || len(v.Servers) > maxVerdictServers:
		return &FieldError{Field: "Servers", Reason: "must list one server for each loss"}
	case v.Depth < 0 || v.ExpiresAt.IsZero():
		return &FieldError{Field: "Depth", Reason: "must not be negative, and ExpiresAt must be set"}
	}
	for _, s := range v.Servers {
		if err := CheckName("Servers", string(s)); err != nil {
			return err
		}
	}
	return nil
}

// sameSubject reports whether two verdicts are on the same request or parts.
func (v *CrashVerdict) sameSubject(o *CrashVerdict) bool {
	return v.Fingerprint == o.Fingerprint && slices.Equal(v.Parts, o.Parts)
}

// Includes reports whether r has all losses of the verdicts of o.
func (r *CrashRecord) Includes(o *CrashRecord) bool {
	return !slices.ContainsFunc(o.Verdicts, func(v CrashVerdict) bool {
		return !slices.ContainsFunc(r.Verdicts, func(known CrashVerdict) bool {
			return known.sameSubject(&v) && len(known.Servers) >= len(v.Servers)
		})
	})
}

// Union returns the verdicts of both records. Of two on the same subject the one with more
// losses counts.
func (r *CrashRecord) Union(o *CrashRecord, now time.Time) CrashRecord {
	union := CrashRecord{Verdicts: slices.Clone(r.Verdicts)}
	for _, v := range o.Verdicts {
		n := slices.IndexFunc(union.Verdicts, func(known CrashVerdict) bool { return known.sameSubject(&v) })
		switch {
		case n < 0:
			union.Verdicts = append(union.Verdicts, v)
		case len(v.Servers) > len(union.Verdicts[n].Servers):
			union.Verdicts[n] = v
		}
	}
	union.Trim(now)
	return union
}

// Trim removes the verdicts that have expired and, if there are too many, those with the
// fewest losses.
func (r *CrashRecord) Trim(now time.Time) {
	r.Verdicts = slices.DeleteFunc(r.Verdicts, func(v CrashVerdict) bool { return !now.Before(v.ExpiresAt) })
	slices.SortStableFunc(r.Verdicts, func(a, b CrashVerdict) int {
		if n := cmp.Compare(len(b.Servers), len(a.Servers)); n != 0 {
			return n
		}
		return b.ExpiresAt.Compare(a.ExpiresAt)
	})
	parts := 0
	for n := range r.Verdicts {
		parts += len(r.Verdicts[n].Parts)
		if n == maxCrashVerdicts || parts > maxCrashParts {
			r.Verdicts = r.Verdicts[:n]
			return
		}
	}
}
