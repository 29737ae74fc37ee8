package editor

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

// MaxAuditEntries is the number of most recent entries that the audit trail
// keeps (6.4).
const MaxAuditEntries = 1000

// auditBlockSize is the number of entries that one List call reads: those in slots
// 120 to 129 share the key prefix Audit/12.
const auditBlockSize = 10

// maxEntryBytes limits a decompressed entry. It leaves room for two documents, the
// paths of their items and a change of order.
const maxEntryBytes = 4 * MaxDocumentBytes

// AuditEntry is one accepted edit in the audit trail.
type AuditEntry struct {
	Revision egretflow.Revision
	EditID   string
	Who      string
	At       time.Time
	Reason   string
	// Changes holds the difference between the tables before and after the edit.
	Changes []Change
	// Checksum is the xxhash64 of the document that the edit wrote.
	Checksum uint64
	// base is the revision that the edit started from. It is one less than
	// Revision unless Request.MustExceed required a higher one.
	base egretflow.Revision
}

// AuditPrefix is the prefix of the store keys of all audit entries.
const AuditPrefix = "Audit/"

func auditSlot(r egretflow.Revision) int { return int(r % MaxAuditEntries) }

func auditKey(r egretflow.Revision) string { return fmt.Sprintf("%s%03d", AuditPrefix, auditSlot(r)) }

func auditBlockPrefix(r egretflow.Revision) string {
	return fmt.Sprintf("%s%02d", AuditPrefix, auditSlot(r)/auditBlockSize)
}

// encode returns the entry in stored form.
func (n *AuditEntry) encode() ([]byte, error) {
	data, err := json.Marshal(n)
	if err != nil {
		return nil, fmt.Errorf("encode audit entry: %w", err)
	}
	if len(data) > maxEntryBytes {
		return nil, &egretflow.FieldError{Field: "Tables", Reason: fmt.Sprintf("audit entry of %d bytes exceeds %d", len(data), maxEntryBytes)}
	}
	return compress(data)
}

// DecodeAuditEntry decodes an entry in stored form.
func DecodeAuditEntry(data []byte) (*AuditEntry, error) {
	data, err := decompress(data, maxEntryBytes)
	if err != nil {
		return nil, fmt.Errorf("decompress audit entry: %w", err)
	}
	var n AuditEntry
	if err := json.Unmarshal(data, &n); err != nil {
		return nil, fmt.Errorf("decode audit entry: %w", err)
	}
	return &n, nil
}

// entryAt returns the entry of revision r. The error wraps ErrNotFound if the trail
// does not hold it.
func (e *Editor) entryAt(ctx context.Context, r egretflow.Revision) (*AuditEntry, error) {
	stored, err := e.store.Get(ctx, auditKey(r))
	if err != nil {
		return nil, fmt.Errorf("read audit trail: %w", err)
	}
	n, err := DecodeAuditEntry(stored.Value)
	if err != nil {
		return nil, err
	}
	if n.Revision != r {
		return nil, fmt.Errorf("audit entry of revision %d: %w", r, egretflow.ErrNotFound)
	}
	return n, nil
}

// listBlock returns the entries of the block that contains the slot of revision r,
// newest first. They may include entries of older revisions in the same slots.
func (e *Editor) listBlock(ctx context.Context, r egretflow.Revision) ([]AuditEntry, error) {
	stored, err := e.store.List(ctx, auditBlockPrefix(r))
	if err != nil {
		return nil, fmt.Errorf("read audit trail: %w", err)
	}
	entries := make([]AuditEntry, 0, len(stored))
	for _, s := range stored {
		n, err := DecodeAuditEntry(s.Value)
		if err != nil {
			return nil, err
		}
		entries = append(entries, *n)
	}
	slices.SortFunc(entries, func(a, b AuditEntry) int { return cmp.Compare(b.Revision, a.Revision) })
	return entries, nil
}

// Audit returns up to limit entries of the audit trail, newest first.
func (e *Editor) Audit(ctx context.Context, limit int) ([]AuditEntry, error) {
	var entries []AuditEntry
	err := e.walkAudit(ctx, func(n AuditEntry) bool {
		entries = append(entries, n)
		return len(entries) < limit
	})
	return entries, err
}

// walkAudit calls visit with each entry of the audit trail, newest first, until
// visit returns false.
func (e *Editor) walkAudit(ctx context.Context, visit func(AuditEntry) bool) error {
	current, err := e.Tables(ctx)
	if err != nil {
		return err
	}
	newest := current.Revision
	oldest := egretflow.Revision(1)
	if newest > MaxAuditEntries {
		oldest = newest - MaxAuditEntries + 1
	}
	for newest >= oldest {
		entries, err := e.listBlock(ctx, newest)
		if err != nil {
			return err
		}
		first := max(oldest, newest-newest%auditBlockSize)
		for _, n := range entries {
			if n.Revision >= first && n.Revision <= newest && !visit(n) {
				return nil
			}
		}
		newest = first - 1
	}
	return nil
}

// entriesAfter returns the entries after revision base, oldest first, or none if
// the trail cannot be read or does not reach back to base.
func (e *Editor) entriesAfter(ctx context.Context, base egretflow.Revision) []AuditEntry {
	var entries []AuditEntry
	err := e.walkAudit(ctx, func(n AuditEntry) bool {
		if n.Revision > base {
			entries = append(entries, n)
		}
		return n.Revision > base+1
	})
	if err != nil || len(entries) == 0 || entries[len(entries)-1].Revision != base+1 {
		return nil
	}
	slices.Reverse(entries)
	return entries
}

// findEdit returns the result of the edit with the given id if it is in the audit
// trail, else nil.
func (e *Editor) findEdit(ctx context.Context, id string) (*Result, error) {
	var found *Result
	err := e.walkAudit(ctx, func(n AuditEntry) bool {
		if n.EditID == id {
			found = &Result{Revision: n.Revision, EditID: id, Changes: n.Changes, Written: true}
		}
		return found == nil
	})
	if err != nil {
		return nil, fmt.Errorf("find edit %s: %w", id, err)
	}
	return found, nil
}
