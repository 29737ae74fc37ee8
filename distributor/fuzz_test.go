package distributor

import "testing"

// Fuzzes heads of the tables from the store.
func FuzzDecodeHead(f *testing.F) {
	f.Add([]byte(`{"Revision":7,"EditID":"e"}`))
	f.Add([]byte(`{"Revision":-1}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		head, err := decodeHead(data)
		if err == nil && head.Revision == 0 {
			t.Fatalf("head %+v without a revision", head)
		}
	})
}
