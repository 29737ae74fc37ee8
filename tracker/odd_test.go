package tracker

import (
	"strings"
	"testing"
)

// Guards against one odd entry that hides the others of the list.
func TestOddListEntryCostsOnlyItself(t *testing.T) {
	const good = `{"targets":["10.0.0.1:80"],"labels":{"Name":"a","State":"Live","Kind":"Instance","FailureDomain":"z"}}`
	for name, odd := range map[string]string{
		"nested":         strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000),
		"nested label":   `{"targets":["10.0.0.1:80"],"labels":` + strings.Repeat(`{"a":`, 100_000) + "1" + strings.Repeat("}", 100_001),
		"number":         `1e400`,
		"null":           `null`,
		"port":           strings.Replace(good, ":80", ":70000", 1),
		"port zero":      strings.Replace(good, ":80", ":0", 1),
		"unspecified":    strings.Replace(good, "10.0.0.1", "0.0.0.0", 1),
		"domain control": strings.Replace(good, `"z"`, `"z\u0000"`, 1),
		"domain long":    strings.Replace(good, `"z"`, `"`+strings.Repeat("z", 100_000)+`"`, 1),
		"name list":      strings.Replace(good, `"a"`, `["a"]`, 1),
	} {
		l, err := decodeList([]byte("[" + strings.Replace(odd, `"a"`, `"odd"`, 1) + ",\n" + good + "]"))
		if err != nil || len(l.members) != 1 || l.members[0].Name != "a" {
			t.Errorf("%s: %d members, %v; want a", name, len(l.members), err)
		}
	}
}

// Guards against a list that is cut, or no list, and counts as one with fewer entries.
func TestBrokenListIsRefused(t *testing.T) {
	for _, data := range []string{"", "[", "null", "{}", `[{"labels":{"Name":"a"}}`, `[{"labels":]`, `["a]`, `[]]`, "[1,\n"} {
		if l, err := decodeList([]byte(data)); err == nil {
			t.Errorf("%q is a list with %d entries skipped", data, l.skipped)
		}
	}
	for _, data := range []string{"[]", " [ ]\n"} {
		if l, err := decodeList([]byte(data)); err != nil || l.skipped != 0 {
			t.Errorf("%q: %d entries skipped, %v", data, l.skipped, err)
		}
	}
}
