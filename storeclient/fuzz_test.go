package storeclient

import (
	"bytes"
	"context"
	"testing"

	"github.com/egretflow/egretflow"
)

// Guards against watch streams that panic or end without an error, whatever the
// store sends.
func FuzzForwardEvents(f *testing.F) {
	f.Add([]byte(`{"result":{"header":{"revision":"5"},"events":[{"kv":{"key":"YQ==","value":"YQ==","mod_revision":"5"}},{"type":"DELETE","kv":{"key":"YQ=="}}]}}`))
	f.Add([]byte(`{"result":{"compact_revision":"7"}}`))
	f.Add([]byte(`{"error":{"message":"lost"}}{"result":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		events := make(chan egretflow.StoreEntry)
		ended := make(chan error, 1)
		go func() {
			ended <- forwardEvents(context.Background(), bytes.NewReader(data), events)
			close(events)
		}()
		for range events {
			continue
		}
		if err := <-ended; err == nil {
			t.Fatal("a watch ended without an error")
		}
	})
}
