package editor

import (
	"context"
	"fmt"
	"strings"

	"github.com/egretflow/egretflow"
)

// ConflictError says that another edit came first. Nothing was written.
type ConflictError struct {
	// Base is the revision that the refused edit started from.
	Base egretflow.Revision
	// Yours are the changes of the refused edit.
	Yours []Change
	// Theirs are the edits accepted since Base, oldest first. It is empty when
	// the audit trail could not be read or no longer reaches back to Base.
	Theirs []Entry
}

// Error shows both edits.
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

// resolveConflict finds out whose edit became the revision that entry was
// meant to be. uncertain says that an earlier try of entry may have won.
func (e *Editor) resolveConflict(ctx context.Context, entry *Entry, uncertain bool) error {
	conflict := &ConflictError{Base: entry.base, Yours: entry.Changes}
	winner, err := e.entryAt(ctx, entry.Revision)
	if err == nil && winner.EditID == entry.EditID {
		return nil
	}
	if err != nil && uncertain {
		return uncertainEdit(entry, err)
	}
	if err == nil {
		conflict.Theirs = e.entriesAfter(ctx, conflict.Base)
	}
	return conflict
}

// staleBase builds the conflict of a request whose base is not the present
// revision.
func (e *Editor) staleBase(ctx context.Context, r Request, current *egretflow.Tables) error {
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
