// Package storeclient implements egretflow.Store over the HTTP/JSON gateway of
// the etcd v3 API.
//
// # Usage
//
//	store, err := storeclient.New(storeclient.Config{
//		BaseURL: "http://127.0.0.1:2379",
//		Client:  &http.Client{Transport: connector.NewTransport(&http.Transport{})},
//		Clock:   egretflow.SystemClock,
//	})
//	if err != nil {
//		return fmt.Errorf("open store: %w", err)
//	}
//	entry, err := store.Get(ctx, "Tables/Document")
//
// # Rules
//
//  1. Get of a missing key fails with ErrNotFound. A read that fails for any
//     other reason fails with ErrUnavailable.
//  2. A write fails with ErrUnavailable only when no byte of its body was read
//     for sending, or when the store responded with a code that it uses only
//     before it proposes the write. A missing lease is ErrNotFound. Every other
//     failure of a write but ErrConflict is ErrUncertain.
//  3. ErrConflict means that a condition of the transaction did not hold.
//     Nothing was written by this call; an earlier call with the same
//     transaction may have succeeded.
//  4. ExpiresAt of a lease is the time before the call plus the granted TTL, so
//     it is never later than the expiry in the store.
//  5. Every call is counted when it is sent, whether it succeeds or not.
package storeclient
