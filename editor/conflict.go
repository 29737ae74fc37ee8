package editor

import (
	"context"
	"fmt"
	"strings"

	"github.com/egretflow/egretflow"
)

// ConflictError means that another edit was accepted first and nothing was
// written. It matches egretflow.ErrConflict.
type ConflictError struct {
	// Base is the revision that the refused edit started from.
	Base egretflow.Revision
	// Yours are the changes of the refused edit.
	Yours []Change
	// Theirs are the edits accepted since Base, oldest first. It is empty when
	// the audit trail could not be read or no longer reaches back to Base.
	Theirs []AuditEntry
}

// Error lists the changes of both edits.
func (c *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "conflict: the tables changed after revision %d\nyour edit:", c.Base)
	for _, change := range c.Yours {
		fmt.Fprintf(&b, "\n  %s", change)
	}
	if len(c.Theirs) == 0 {
		b.WriteString("\nthe other edit is not in the audit trail")
	}
	for _, entry := range c.Theirs {
		fmt.Fprintf(&b, "\nedit %s by %s (revision %d, %s):", entry.EditID, entry.Who, entry.Revision, entry.Reason)
		for _, change := range entry.Changes {
			fmt.Fprintf(&b, "\n  %s", change)
		}
	}
	return b.String()
}

// Is makes the error match egretflow.ErrConflict.
func (c *ConflictError) Is(target error) bool { return target == egretflow.ErrConflict }

// resolveConflict finds out which edit was accepted as the revision of entry, after
// a transaction failed its condition. It returns nil if it was entry itself.
// uncertain is true if an earlier attempt to write entry may have taken effect.
func (e *Editor) resolveConflict(ctx context.Context, entry *AuditEntry, uncertain bool) error {
	conflict := &ConflictError{Base: entry.base, Yours: entry.Changes}
	winner, err := e.entryAt(ctx, entry.Revision)
	if err == nil && winner.EditID == entry.EditID {
		return nil
	}
	if err != nil && uncertain {
		return uncertainError(entry, err)
	}
	if err == nil {
		conflict.Theirs = e.entriesAfter(ctx, conflict.Base)
	}
	return conflict
}

// staleBaseError returns the error for a request whose base is not the current
// revision: a *ConflictError, or the reason why its steps cannot be applied.
func (e *Editor) staleBaseError(ctx context.Context, r Request, current *egretflow.Tables) error {
	conflict := &ConflictError{Base: r.Base, Theirs: e.entriesAfter(ctx, r.Base)}
	seen := current
	if old, err := revert(current, conflict.Theirs); err == nil {
		seen = old
	}
	wanted, err := applySteps(seen, r.Steps)
	if err != nil {
		return fmt.Errorf("revision %d is no longer current: %w", r.Base, err)
	}
	if conflict.Yours, err = Diff(seen, wanted); err != nil {
		return err
	}
	return conflict
}
