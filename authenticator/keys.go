// Package authenticator identifies callers, operators and peers by their keys, of
// which it stores only hashes, and loads TLS certificates (12).
//
// # Usage
//
//	keys, err := authenticator.OpenKeys("callers.json", clock, recorder)
//	go keys.Run(ctx)
//	caller, ok := keys.Identify(token)
//
// A key file is JSON:
//
//	{"Keys": [{"Name": "vonwiller", "SHA256": ["<64 hex digits>"]}]}
//
// # Rules
//
//  1. Callers, operators and peers have separate files, so a key of one kind
//     never gives access to the interface of another.
//  2. A file is read again when its modification time or size changes. If it
//     cannot be read or is malformed, the previous keys stay valid, and the error
//     is recorded once per change.
package authenticator

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync/atomic"

	"github.com/egretflow/egretflow"
)

// keyFile is the content of a key file.
type keyFile struct {
	Keys []struct {
		Name   string
		SHA256 []egretflow.KeyHash
	}
}

// keySet maps the hash of a key to the name of its owner.
type keySet map[egretflow.KeyHash]string

// parseKeys decodes a key file. It returns an error for an invalid name and for a
// key that belongs to two names.
func parseKeys(data []byte) (keySet, error) {
	var file keyFile
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, fmt.Errorf("decode keys: %w", err)
	}
	set := keySet{}
	for n, key := range file.Keys {
		if err := egretflow.CheckName(fmt.Sprintf("Keys[%d].Name", n), key.Name); err != nil {
			return nil, fmt.Errorf("check keys: %w", err)
		}
		for _, h := range key.SHA256 {
			if other, ok := set[h]; ok && other != key.Name {
				return nil, fmt.Errorf("check keys: %s and %s have the same key", other, key.Name)
			}
			set[h] = key.Name
		}
	}
	return set, nil
}

// Keys is a set of named keys that Run reloads when its file changes.
type Keys struct {
	file    watchedFile
	current atomic.Pointer[keySet]
}

// OpenKeys reads the key file at path. Reloads and their errors are recorded by
// recorder.
func OpenKeys(path string, clock egretflow.Clock, recorder egretflow.Recorder) (*Keys, error) {
	k := &Keys{}
	k.file = watchedFile{path: path, clock: clock, recorder: recorder, load: k.load}
	if err := k.file.reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// StaticKeys returns keys that never change. names maps each key in clear text to
// its name. It is meant for the demo and for tests.
func StaticKeys(names map[string]string) *Keys {
	set := keySet{}
	for key, name := range names {
		set[egretflow.HashKey(key)] = name
	}
	k := &Keys{}
	k.current.Store(&set)
	return k
}

func (k *Keys) load() error {
	data, err := os.ReadFile(k.file.path)
	if err != nil {
		return fmt.Errorf("read keys: %w", err)
	}
	set, err := parseKeys(data)
	if err != nil {
		return fmt.Errorf("key file %s: %w", k.file.path, err)
	}
	k.current.Store(&set)
	return nil
}

// Identify returns the name that belongs to key. The lookup is by hash, so its
// duration reveals nothing about the stored keys.
func (k *Keys) Identify(key string) (string, bool) {
	if key == "" {
		return "", false
	}
	name, ok := (*k.current.Load())[egretflow.HashKey(key)]
	return name, ok
}

// Hash returns the SHA-256 of key in hex, as it is written to a key file.
func Hash(key string) string {
	sum := egretflow.HashKey(key)
	return hex.EncodeToString(sum[:])
}

// Scheme is the authentication scheme of API keys.
const Scheme = "Bearer"

const bearer = Scheme + " "

// BearerToken returns the token of the Authorization header, or "" if the header
// is absent, is there more than once or has another scheme.
func BearerToken(r *http.Request) string {
	values := r.Header["Authorization"]
	if len(values) != 1 {
		return ""
	}
	value := values[0]
	if len(value) < len(bearer) || !strings.EqualFold(value[:len(bearer)], bearer) {
		return ""
	}
	return value[len(bearer):]
}
