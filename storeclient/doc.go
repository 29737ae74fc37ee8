// Package storeclient implements egretflow.Store over the HTTP/JSON gateway of
// the etcd v3 API.
//
// # Usage
//
//	store, err := storeclient.New(storeclient.Config{
//		BaseURL: "http://127.0.0.1:2379",
//		Client:  &http.Client{},
//		Clock:   egretflow.SystemClock,
//	})
//	if err != nil {
//		return fmt.Errorf("open store: %w", err)
//	}
//	entry, err := store.Get(ctx, "Tables/Document")
//
// # Rules
//
//  1. A read that fails for any reason but a missing key is ErrUnavailable.
//  2. A write is ErrUnavailable only when its body never left the client, or
//     when the store answered with a code that it uses only before it proposes
//     the write. Every other failure of a write is ErrUncertain.
//  3. ErrConflict means that a condition of the transaction did not hold.
//     Nothing was written by this call; an earlier call with the same
//     transaction may have succeeded.
//  4. The deadline of a lease is the time before the call plus the granted TTL,
//     so a lease is never believed longer than the store keeps it.
//  5. Every call is counted when it starts, whatever its outcome.
package storeclient
