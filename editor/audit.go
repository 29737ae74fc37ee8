package editor

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

// AuditEntries is the number of entries that the audit trail keeps (6.4).
const AuditEntries = 1000

// maxAuditParts bounds the keys of one entry. An entry holds at most the
// changed parts of two documents of one value each, and their JSON overhead.
const maxAuditParts = 4

// auditBlock is the number of slots read by one call: slots 120 to 129 share
// the prefix Audit/12.
const auditBlock = 10

// Entry is one accepted edit in the audit trail.
type Entry struct {
	Revision egretflow.Revision
	EditID   string
	Who      string
	At       time.Time
	Reason   string
	// Changes hold the state before and after.
	Changes []Change
}

func auditSlot(r egretflow.Revision) int { return int(r % AuditEntries) }

func auditKey(slot, part int) string { return fmt.Sprintf("Audit/%03d/%d", slot, part) }

// writes puts the entry into its slot and removes what is left of the entry
// that it replaces.
func (n *Entry) writes() ([]egretflow.StoreWrite, error) {
	data, err := json.Marshal(n)
	if err != nil {
		return nil, fmt.Errorf("encode audit entry: %w", err)
	}
	if len(data) > maxAuditParts*egretflow.MaxStoreValueBytes {
		return nil, &egretflow.FieldError{Field: "Changes", Reason: "edit is too large for the audit trail; split it"}
	}
	slot := auditSlot(n.Revision)
	var writes []egretflow.StoreWrite
	for chunk := range slices.Chunk(data, egretflow.MaxStoreValueBytes) {
		writes = append(writes, egretflow.StoreWrite{Key: auditKey(slot, len(writes)), Value: chunk})
	}
	for part := len(writes); part < maxAuditParts; part++ {
		writes = append(writes, egretflow.StoreWrite{Key: auditKey(slot, part), Delete: true})
	}
	return writes, nil
}

// listAudit returns the entries of all slots whose key starts with prefix.
func (e *Editor) listAudit(ctx context.Context, prefix string) ([]Entry, error) {
	parts, err := e.store.List(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("read audit trail: %w", err)
	}
	slots := map[string][]byte{}
	for _, p := range parts {
		slot := p.Key[:len("Audit/000")]
		slots[slot] = append(slots[slot], p.Value...)
	}
	entries := make([]Entry, 0, len(slots))
	for slot, data := range slots {
		var n Entry
		if err := json.Unmarshal(data, &n); err != nil {
			return nil, fmt.Errorf("decode %s: %w", slot, err)
		}
		entries = append(entries, n)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return int(b.Revision) - int(a.Revision) })
	return entries, nil
}

// entryAt returns the entry of one revision or ErrNotFound.
func (e *Editor) entryAt(ctx context.Context, r egretflow.Revision) (*Entry, error) {
	entries, err := e.listAudit(ctx, fmt.Sprintf("Audit/%03d/", auditSlot(r)))
	if err != nil {
		return nil, err
	}
	if len(entries) == 0 || entries[0].Revision != r {
		return nil, fmt.Errorf("audit entry of revision %d: %w", r, egretflow.ErrNotFound)
	}
	return &entries[0], nil
}

// Audit returns up to limit entries, newest first.
func (e *Editor) Audit(ctx context.Context, limit int) ([]Entry, error) {
	var entries []Entry
	err := e.walkAudit(ctx, func(n Entry) bool {
		entries = append(entries, n)
		return len(entries) < limit
	})
	return entries, err
}

// walkAudit calls visit with each entry, newest first, until it returns false.
func (e *Editor) walkAudit(ctx context.Context, visit func(Entry) bool) error {
	current, err := e.Tables(ctx)
	if err != nil {
		return err
	}
	oldest := egretflow.Revision(1)
	if current.Revision > AuditEntries {
		oldest = current.Revision - AuditEntries + 1
	}
	for r := current.Revision; r >= oldest && r > 0; {
		first := r - r%auditBlock
		entries, err := e.listAudit(ctx, fmt.Sprintf("Audit/%02d", auditSlot(r)/auditBlock))
		if err != nil {
			return err
		}
		for _, n := range entries {
			if n.Revision > r || n.Revision < max(first, oldest) {
				continue
			}
			if !visit(n) {
				return nil
			}
		}
		r = first - 1
		if first == 0 {
			break
		}
	}
	return nil
}

// entriesAfter returns the entries after a revision, oldest first, or none if
// the trail does not reach back to it.
func (e *Editor) entriesAfter(ctx context.Context, base egretflow.Revision) []Entry {
	var entries []Entry
	err := e.walkAudit(ctx, func(n Entry) bool {
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

// findEdit returns the result of an edit that was accepted before, or nil.
func (e *Editor) findEdit(ctx context.Context, id string) (*Result, error) {
	var found *Result
	err := e.walkAudit(ctx, func(n Entry) bool {
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
