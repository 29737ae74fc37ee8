package messenger

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/egretflow/egretflow"
)

// Verifier checks that a request comes from a peer. VerifyPeer returns an error
// that wraps egretflow.ErrUnauthorized if it does not.
type Verifier interface {
	VerifyPeer(r *http.Request) error
}

// KeyVerifier accepts requests with a bearer key whose SHA-256 hash is in its set.
// It is safe for concurrent use.
type KeyVerifier struct {
	hashes atomic.Pointer[[][sha256.Size]byte]
}

// NewKeyVerifier returns a KeyVerifier for a set of SHA-256 hashes in hex.
func NewKeyVerifier(hashes []string) (*KeyVerifier, error) {
	v := &KeyVerifier{}
	if err := v.Set(hashes); err != nil {
		return nil, err
	}
	return v, nil
}

// Set replaces the hashes. If one of them is malformed, it returns an error and
// keeps the previous ones.
func (v *KeyVerifier) Set(hashes []string) error {
	parsed := make([][sha256.Size]byte, len(hashes))
	for n, h := range hashes {
		raw, err := hex.DecodeString(h)
		if err != nil || len(raw) != sha256.Size {
			return fmt.Errorf("peer key hash %d: want %d hex digits", n, 2*sha256.Size)
		}
		copy(parsed[n][:], raw)
	}
	v.hashes.Store(&parsed)
	return nil
}

// VerifyPeer implements Verifier. It compares the key's hash with every hash in
// constant time.
func (v *KeyVerifier) VerifyPeer(r *http.Request) error {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return fmt.Errorf("verify peer key: missing: %w", egretflow.ErrUnauthorized)
	}
	got := sha256.Sum256([]byte(key))
	match := 0
	for _, want := range *v.hashes.Load() {
		match |= subtle.ConstantTimeCompare(got[:], want[:])
	}
	if match != 1 {
		return fmt.Errorf("verify peer key: unknown: %w", egretflow.ErrUnauthorized)
	}
	return nil
}

// CertificateVerifier accepts requests over TLS connections whose client
// certificate was verified by the TLS configuration of the listener.
type CertificateVerifier struct {
	// CommonName, if set, must be the subject's common name.
	CommonName string
}

// VerifyPeer implements Verifier.
func (v CertificateVerifier) VerifyPeer(r *http.Request) error {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return fmt.Errorf("verify peer certificate: missing: %w", egretflow.ErrUnauthorized)
	}
	if name := r.TLS.VerifiedChains[0][0].Subject.CommonName; v.CommonName != "" && name != v.CommonName {
		return fmt.Errorf("verify peer certificate: name %q: %w", name, egretflow.ErrUnauthorized)
	}
	return nil
}

// AnyVerifier accepts a request if one of its verifiers accepts it.
type AnyVerifier []Verifier

// VerifyPeer implements Verifier.
func (v AnyVerifier) VerifyPeer(r *http.Request) error {
	err := fmt.Errorf("verify peer: no credential is configured: %w", egretflow.ErrUnauthorized)
	for _, member := range v {
		if err = member.VerifyPeer(r); err == nil {
			return nil
		}
	}
	return err
}
