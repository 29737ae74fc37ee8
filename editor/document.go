package editor

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"github.com/egretflow/egretflow"
)

// compressAbove is the size in bytes above which a value is stored in gzip format.
// Smaller values remain readable with any client of the store.
const compressAbove = 64 << 10

// MaxDocumentBytes limits the decompressed document. It holds twice the 10,000
// servers of (1.5) and is small enough that a corrupt value cannot exhaust the
// memory of an instance.
const MaxDocumentBytes = 4 << 20

// gzipMagic is the prefix of a compressed value. JSON text cannot start with it.
var gzipMagic = []byte{0x1f, 0x8b}

// EncodeDocument returns the stored form of document, which is JSON text. A
// document already in stored form is returned unchanged.
func EncodeDocument(document []byte) ([]byte, error) { return compress(document) }

// DecodeDocument decodes a document in stored form. It returns an error if the
// value cannot be decompressed or decoded, or if egretflow.Tables.Check fails.
func DecodeDocument(stored []byte) (*egretflow.Tables, error) {
	data, err := decompress(stored, MaxDocumentBytes)
	if err != nil {
		return nil, fmt.Errorf("decompress tables: %w", err)
	}
	var t egretflow.Tables
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, err
	}
	return &t, nil
}

// compress returns data in gzip format, or unchanged if it has at most
// compressAbove bytes or is already compressed.
func compress(data []byte) ([]byte, error) {
	if len(data) <= compressAbove || bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return b.Bytes(), nil
}

// decompress reverses compress. It fails if a compressed value decompresses to
// more than limit bytes.
func decompress(data []byte, limit int) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > limit {
		return nil, fmt.Errorf("value of %d bytes decompresses to more than %d", len(data), limit)
	}
	return plain, nil
}
