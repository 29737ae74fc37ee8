package editor

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/egretflow/egretflow"
)

func readTables(t *testing.T) *egretflow.Tables {
	t.Helper()
	data, err := os.ReadFile("testdata/tables.json")
	if err != nil {
		t.Fatal(err)
	}
	tables, err := DecodeTables(data)
	if err != nil {
		t.Fatal(err)
	}
	return tables
}

// Guards against steps with wrong changes or errors. Each block of steps.txt is one
// step, applied to tables.json, with its expected changes or error.
func TestSteps(t *testing.T) {
	data, err := os.ReadFile("testdata/steps.txt")
	if err != nil {
		t.Fatal(err)
	}
	_, script, _ := strings.Cut(string(data), "\n")
	for block := range strings.SplitSeq(strings.TrimSpace(script), "\n\n") {
		line, want, _ := strings.Cut(block, "\n=>")
		fields := strings.SplitN(line, "|", 3)
		step := Step{Operation: OperationSet, Path: strings.TrimSpace(fields[1]), Value: json.RawMessage(fields[2])}
		if strings.TrimSpace(fields[0]) == "delete" {
			step.Operation = OperationDelete
		}
		t.Run(step.Path, func(t *testing.T) {
			got := describe(t, step)
			if want = strings.TrimSpace(want); !strings.HasPrefix(got, want) || (want == "") != (got == "") {
				t.Errorf("%s\ngot  %s\nwant %s", line, got, want)
			}
		})
	}
}

func describe(t *testing.T, step Step) string {
	before := readTables(t)
	after, err := applySteps(before, []Step{step})
	if err != nil {
		return err.Error()
	}
	changes, err := Diff(before, after)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, c := range changes {
		lines = append(lines, c.String())
	}
	return strings.Join(lines, "\n")
}

// Guards against a diff that misses a change of the order of routes, which decides
// which route a request takes.
func TestDiffShowsOrder(t *testing.T) {
	before, after := readTables(t), readTables(t)
	after.Routes[0], after.Routes[1] = after.Routes[1], after.Routes[0]
	changes, err := Diff(before, after)
	if err != nil || len(changes) != 1 || changes[0].Path != "Routes" {
		t.Errorf("changes %v, error %v", changes, err)
	}
}
