// Package editor reads and edits the operators' tables in the key-value store.
//
// # Usage
//
//	ed := editor.New(store, egretflow.SystemClock, uuid.NewString)
//	result, err := ed.Edit(ctx, editor.Request{
//		Who:    "amina",
//		Reason: "replace the power supply",
//		Steps: []editor.Step{{
//			Operation: editor.OperationSet,
//			Path:      "Pools/letters/Servers/moshi-4/Drain",
//			Value:     json.RawMessage("true"),
//		}},
//	})
//
// # Paths
//
// A path identifies an element of a list by its Name and any other value by its
// field: Routes/chat, Pools/letters/Servers/moshi-4, Pools/letters/TokenGap.
// The empty path is the whole document. Errors identify list elements by index,
// such as Pools[0].Servers[3].Slots, because the Name of an invalid element may
// be missing or ambiguous.
//
// # Rules
//
//  1. An edit reads the document, changes it, and writes it on the condition
//     that it was not modified in between. If it was, the edit fails with a
//     *ConflictError that holds both edits; the editor never merges.
//  2. Document, head and audit entry are written in one transaction (6.4).
//  3. If the outcome of the transaction is unknown, the editor repeats the
//     identical transaction. Its condition is the revision that was read, so it
//     takes effect at most once, even if a delayed first copy arrives later. The
//     edit id in the audit entry of the next revision shows which edit was
//     accepted (6.3).
//  4. An edit that changes nothing writes nothing, unless Request.MustExceed
//     requires a higher revision.
//  5. The audit trail uses MaxAuditEntries numbered keys with one entry each.
//     Revision r overwrites the entry of revision r-MaxAuditEntries.
//  6. Documents and entries above 64 KB are stored in gzip format. An edit is
//     refused if the stored document, head and audit entry together exceed
//     MaxEditBytes, or if the document exceeds MaxDocumentBytes before
//     compression.
package editor
