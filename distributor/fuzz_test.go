package distributor

import "testing"

// Guards against heads from the store that are accepted without a revision or
// make the decoder panic.
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
