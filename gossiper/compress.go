package gossiper

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
)

// compress returns the compressed JSON encoding of v.
func compress(v any) ([]byte, error) {
	var buf bytes.Buffer
	w, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("create compressor: %w", err)
	}
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress snapshot: %w", err)
	}
	return buf.Bytes(), nil
}
