// Package editor changes the operators' tables in the key-value store.
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
// A path names an element of a list by its Name and everything else by its
// field: Routes/chat, Pools/letters/Servers/moshi-4, Pools/letters/TokenGap.
// The empty path is the whole document. Errors name fields by index, such as
// Pools[0].Servers[3].Slots, because a wrong element may lack a usable name.
//
// # Rules
//
//  1. An edit reads the document, changes it and writes it under the condition
//     that nobody wrote in between. A lost race is a *ConflictError with both
//     edits; the editor never merges.
//  2. Document, head and audit entry are written in one transaction (6.4).
//  3. After a lost answer the editor repeats the identical transaction. It
//     depends on the revision that was read, so it takes effect at most once,
//     also when a delayed first copy arrives later. The edit id in the audit
//     entry of the next revision tells whose edit won (6.3).
//  4. An edit that changes nothing writes nothing.
//  5. The audit trail is spread over AuditEntries numbered keys, one entry
//     each. Revision r overwrites the entry of revision r-AuditEntries.
//  6. Documents and entries above 64 KB are stored in gzip format. An edit that
//     exceeds MaxEditBytes with its entry, or MaxDocumentBytes before
//     compression, is refused.
package editor
