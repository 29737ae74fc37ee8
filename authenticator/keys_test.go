package authenticator

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
)

// events is a recorder that collects events.
type events []egretflow.Event

func (e *events) Record(event egretflow.Event) { *e = append(*e, event) }

// keyFileOf returns a key file with one key.
func keyFileOf(name, key string) string {
	return `{"Keys": [{"Name": "` + name + `", "SHA256": ["` + Hash(key) + `"]}]}`
}

// TestReload guards against revoked keys that stay valid after the file changed,
// and against a malformed file that invalidates the keys of all callers.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys.json")
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	write := func(content string) {
		at = at.Add(time.Second)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
	}
	write(keyFileOf("vonwiller", "one"))
	var seen events
	keys, err := OpenKeys(path, time.Now, &seen)
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		content, key, want string
		events             int
	}{
		{"", "one", "vonwiller", 0},
		{keyFileOf("kilimanjaro", "two"), "two", "kilimanjaro", 1},
		{"", "one", "", 1},
		{"{", "two", "kilimanjaro", 2},
		{"", "two", "kilimanjaro", 2},
		{keyFileOf("vonwiller", "three"), "three", "vonwiller", 3},
	} {
		if step.content != "" {
			write(step.content)
		}
		keys.file.check()
		if name, _ := keys.Identify(step.key); name != step.want || len(seen) != step.events {
			t.Errorf("key %q is %q after %q, want %q; %d events, want %d", step.key, name, step.content, step.want, len(seen), step.events)
		}
	}
	if name, ok := keys.Identify(""); ok {
		t.Errorf("the empty key is %q", name)
	}
}

func TestMalformedKeyFiles(t *testing.T) {
	for name, content := range map[string]string{
		"NotJSON":   "keys",
		"ShortHash": `{"Keys": [{"Name": "a", "SHA256": ["00"]}]}`,
		"NotHex":    `{"Keys": [{"Name": "a", "SHA256": ["` + Hash("x")[:62] + `zz"]}]}`,
		"NoName":    `{"Keys": [{"SHA256": ["` + Hash("x") + `"]}]}`,
		"SharedKey": `{"Keys": [{"Name": "a", "SHA256": ["` + Hash("x") + `"]}, {"Name": "b", "SHA256": ["` + Hash("x") + `"]}]}`,
	} {
		if _, err := parseKeys([]byte(content)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// TestRunReloadsFile guards against a Run that does not load a changed file within
// checkInterval or does not end with its context.
func TestRunReloadsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys.json")
	if err := os.WriteFile(path, []byte(keyFileOf("a", "one")), 0o600); err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		keys, err := OpenKeys(path, time.Now, &events{})
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		go func() { done <- keys.Run(t.Context()) }()
		if err := os.WriteFile(path, []byte(keyFileOf("second", "two")), 0o600); err != nil {
			t.Fatal(err)
		}
		time.Sleep(checkInterval + time.Millisecond)
		synctest.Wait()
		if name, _ := keys.Identify("two"); name != "second" {
			t.Errorf("key is %q after the reload period", name)
		}
	})
}
