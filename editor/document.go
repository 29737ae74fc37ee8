package editor

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"github.com/egretflow/egretflow"
)

// compressAbove is the size in bytes from which a value is stored in gzip
// format. Smaller ones stay readable with any client of the store.
const compressAbove = 64 << 10

// MaxDocumentBytes bounds the decompressed document: twice the 10,000 servers
// of (1.5), and small enough that a damaged value cannot fill the memory of an
// instance.
const MaxDocumentBytes = 4 << 20

// gzipMagic starts a compressed value. JSON cannot start with it.
var gzipMagic = []byte{0x1f, 0x8b}

// EncodeDocument returns the stored form of an encoded document. The stored
// form of a stored form is the same.
func EncodeDocument(document []byte) ([]byte, error) { return compress(document) }

// DecodeDocument decodes a document as stored. Errors are of *json.SyntaxError
// and the like, or of egretflow.Tables.Check.
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

// compress returns data in gzip format if it is large and not compressed yet.
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

// decompress returns data as it was before compress, of at most limit bytes.
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
