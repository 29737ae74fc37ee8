package editor

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/egretflow/egretflow"
	"github.com/pkg/errors"
)

// Limits of Request.Who and Request.Reason.
const (
	MaxWhoBytes    = 256
	MaxReasonBytes = 1024
)

// MaxEditBytes limits the total size of the values that an edit writes. The store
// accepts values of up to 1 MB and, like etcd, limits the whole request to
// slightly more than that.
const MaxEditBytes = egretflow.MaxStoreValueBytes - 4096

// Limits of the retries when the outcome of a transaction is unknown. Outages of
// the store may last longer; the operator then repeats the request with its
// EditID.
const (
	firstRetryAfter = 50 * time.Millisecond
	maxRetryAfter   = 2 * time.Second
	maxCommitTries  = 12
)

// Operation is the kind of a step.
type Operation string

const (
	// OperationSet sets the value at a path, and adds it if it does not exist.
	OperationSet Operation = "Set"
	// OperationDelete removes the value at a path.
	OperationDelete Operation = "Delete"
)

// Step is one change of the document.
type Step struct {
	Operation Operation
	// Path has the syntax described in the package documentation.
	Path string
	// Value is the new JSON value; unused by OperationDelete.
	Value json.RawMessage
}

// Request is an edit whose steps take effect together or not at all.
type Request struct {
	// EditID is set to resume an edit whose outcome was unknown. Empty means a
	// new edit.
	EditID string
	// Who names the operator, in 1 to MaxWhoBytes bytes.
	Who string
	// Reason is kept in the audit trail, in 1 to MaxReasonBytes bytes.
	Reason string
	// Base is the revision that the operator based the edit on; the edit fails
	// with a *ConflictError if it is no longer current. 0 means the revision read
	// at the start of the edit.
	Base egretflow.Revision
	// MustExceed is a revision that the new one must also exceed; if the
	// current one does not, a new one is written even without changes. It is
	// used after the store was restored from a backup, because the instances
	// accept only revisions higher than the one they hold (I8).
	MustExceed egretflow.Revision
	// DryRun computes the changes without writing them.
	DryRun bool
	Steps  []Step
}

// Result is the outcome of an edit.
type Result struct {
	// Revision is the new revision, or the current one if nothing was written.
	Revision egretflow.Revision
	EditID   string
	Changes  []Change
	// Written is false for a dry run and for an edit that changes nothing.
	Written bool
}

// Editor edits the tables. It is safe for concurrent use.
type Editor struct {
	store egretflow.Store
	clock egretflow.Clock
	newID func() string
}

// New returns an Editor; newID must return a different edit id on every call.
func New(store egretflow.Store, clock egretflow.Clock, newID func() string) *Editor {
	return &Editor{store: store, clock: clock, newID: newID}
}

// snapshot is the document as read from the store.
type snapshot struct {
	tables *egretflow.Tables
	// modified is the version of the last write of the document's key; zero if it
	// does not exist.
	modified egretflow.StoreVersion
}

// Tables reads the tables from the store. Before the first edit they are empty
// and have revision 0.
func (e *Editor) Tables(ctx context.Context) (*egretflow.Tables, error) {
	s, err := e.read(ctx)
	if err != nil {
		return nil, err
	}
	return s.tables, nil
}

func (e *Editor) read(ctx context.Context) (snapshot, error) {
	entry, err := e.store.Get(ctx, egretflow.TablesDocumentKey)
	if errors.Is(err, egretflow.ErrNotFound) {
		return snapshot{tables: &egretflow.Tables{}}, nil
	}
	if err != nil {
		return snapshot{}, fmt.Errorf("read tables: %w", err)
	}
	t, err := DecodeDocument(entry.Value)
	if err != nil {
		return snapshot{}, fmt.Errorf("read tables: %w", err)
	}
	return snapshot{tables: t, modified: entry.Modified}, nil
}

// Edit applies a request. The errors are *egretflow.FieldError for an invalid
// request or change, *ConflictError if another edit was accepted first,
// ErrUnavailable if nothing was written, and ErrUncertain if the edit may have
// been written: the caller then repeats the request with the EditID of the result.
func (e *Editor) Edit(ctx context.Context, r Request) (*Result, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	result := &Result{EditID: r.EditID}
	if r.EditID == "" {
		result.EditID = e.newID()
	} else if done, err := e.findEdit(ctx, r.EditID); err != nil || done != nil {
		return done, err
	}
	base, err := e.read(ctx)
	if err != nil {
		return result, err
	}
	if r.Base != 0 && r.Base != base.tables.Revision {
		return result, e.staleBaseError(ctx, r, base.tables)
	}
	next, err := applySteps(base.tables, r.Steps)
	if err != nil {
		return result, err
	}
	if result.Changes, err = Diff(base.tables, next); err != nil {
		return result, err
	}
	result.Revision = base.tables.Revision
	if r.DryRun || len(result.Changes) == 0 && r.MustExceed <= base.tables.Revision {
		return result, nil
	}
	next.Revision = max(base.tables.Revision, r.MustExceed) + 1
	next.EditID = result.EditID
	entry := &AuditEntry{
		Revision: next.Revision, EditID: next.EditID, Who: r.Who, At: e.clock(), Reason: r.Reason, Changes: result.Changes,
		base: base.tables.Revision,
	}
	txn, err := encodeEdit(base.modified, next, entry)
	if err != nil {
		return result, err
	}
	if err := e.commit(ctx, txn, entry); err != nil {
		return result, err
	}
	result.Revision, result.Written = next.Revision, true
	return result, nil
}

func (r *Request) check() error {
	switch {
	case r.Who == "" || len(r.Who) > MaxWhoBytes:
		return &egretflow.FieldError{Field: "Who", Reason: fmt.Sprintf("must have 1 to %d bytes", MaxWhoBytes)}
	case r.Reason == "" || len(r.Reason) > MaxReasonBytes:
		return &egretflow.FieldError{Field: "Reason", Reason: fmt.Sprintf("must have 1 to %d bytes", MaxReasonBytes)}
	case len(r.Steps) == 0:
		return &egretflow.FieldError{Field: "Steps", Reason: "must not be empty"}
	}
	return nil
}

// encodeEdit returns the transaction of an edit and sets the checksum of entry.
func encodeEdit(modified egretflow.StoreVersion, next *egretflow.Tables, entry *AuditEntry) (egretflow.StoreTxn, error) {
	document, err := json.Marshal(next)
	if err != nil {
		return egretflow.StoreTxn{}, fmt.Errorf("encode tables: %w", err)
	}
	head, err := json.Marshal(egretflow.TablesHead{Revision: next.Revision, EditID: next.EditID})
	if err != nil {
		return egretflow.StoreTxn{}, fmt.Errorf("encode head: %w", err)
	}
	if len(document) > MaxDocumentBytes {
		return egretflow.StoreTxn{}, &egretflow.FieldError{
			Field: "Tables", Reason: fmt.Sprintf("document of %d bytes exceeds %d", len(document), MaxDocumentBytes),
		}
	}
	entry.Checksum = xxhash.Sum64(document)
	stored, err := EncodeDocument(document)
	if err != nil {
		return egretflow.StoreTxn{}, fmt.Errorf("encode tables: %w", err)
	}
	audit, err := entry.encode()
	if err != nil {
		return egretflow.StoreTxn{}, err
	}
	if size := len(stored) + len(head) + len(audit); size > MaxEditBytes {
		return egretflow.StoreTxn{}, &egretflow.FieldError{
			Field: "Tables",
			Reason: fmt.Sprintf("stored document of %d bytes and audit entry of %d bytes exceed %d bytes together",
				len(stored), len(audit), MaxEditBytes),
		}
	}
	return egretflow.StoreTxn{
		Conditions: []egretflow.StoreCondition{{Key: egretflow.TablesDocumentKey, Modified: modified}},
		Writes: []egretflow.StoreWrite{
			{Key: egretflow.TablesDocumentKey, Value: stored},
			{Key: egretflow.TablesHeadKey, Value: head},
			{Key: auditKey(next.Revision), Value: audit},
		},
	}, nil
}

// commit writes the transaction. Once an attempt may have taken effect, it repeats
// the transaction until the outcome is known or the attempts are used up.
func (e *Editor) commit(ctx context.Context, txn egretflow.StoreTxn, entry *AuditEntry) error {
	wait := &backoff.ExponentialBackOff{
		InitialInterval: firstRetryAfter, Multiplier: 2, MaxInterval: maxRetryAfter,
	}
	wait.Reset()
	uncertain := false
	for try := 1; ; try++ {
		_, err := e.store.Commit(ctx, txn)
		if err == nil {
			return nil
		}
		if errors.Is(err, egretflow.ErrConflict) {
			return e.resolveConflict(ctx, entry, uncertain)
		}
		uncertain = uncertain || errors.Is(err, egretflow.ErrUncertain)
		if !uncertain {
			return fmt.Errorf("write edit %s: %w", entry.EditID, err)
		}
		if try == maxCommitTries || sleep(ctx, wait.NextBackOff()) != nil {
			return uncertainError(entry, err)
		}
	}
}

// uncertainError returns an error that wraps ErrUncertain. It does not wrap cause:
// the last attempt may have failed with ErrUnavailable, by which a caller would
// conclude that nothing was written.
func uncertainError(entry *AuditEntry, cause error) error {
	return fmt.Errorf("write edit %s: %w (last failure: %s)", entry.EditID, egretflow.ErrUncertain, cause.Error())
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
