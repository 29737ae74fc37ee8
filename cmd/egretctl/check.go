package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/editor"
	"github.com/egretflow/egretflow/linter"
	"github.com/egretflow/egretflow/platform"
)

// form is the format of a file that checkCommand reads.
type form string

// The forms.
const (
	formTables   form = "Tables"
	formPlatform form = "Platform"
)

// checkCommand checks a configuration before it is sent. It calls neither a store nor
// instances.
type checkCommand struct {
	File    string `arg:"" type:"existingfile" help:"JSON file with the configuration."`
	Form    form   `enum:"Tables,Platform" default:"Tables" help:"Tables: as printed by tables get; Platform: as operators write it on the users' platform."`
	Against string `type:"existingfile" help:"JSON file with the version in force, to show what differs."`
	Strict  bool   `help:"Exit with status 2 for warnings as well."`
}

// checkResult is the output of checkCommand in JSON.
type checkResult struct {
	Findings []linter.Finding
	Changes  []editor.Change `json:",omitempty"`
}

// errFindings means that a configuration must not be sent as it is.
var errFindings = &egretflow.FieldError{Field: "configuration", Reason: "has errors"}

// Run prints the errors and findings of the file, and its differences from --against.
func (c *checkCommand) Run(a *app) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	result := checkResult{Findings: []linter.Finding{}}
	tables, err := c.Form.decode(data)
	if err != nil {
		result.Findings = append(result.Findings, errorFinding(data, err))
	} else {
		result.Findings = append(result.Findings, linter.Check(tables)...)
	}
	for n := range result.Findings {
		f := &result.Findings[n]
		if f.Line == 0 {
			f.Line = linter.LineOf(data, c.Form.path(f.Field))
		}
	}
	if c.Against != "" && tables != nil {
		if result.Changes, err = c.changes(tables); err != nil {
			return err
		}
	}
	if err := a.printCheck(c, &result); err != nil {
		return err
	}
	return c.verdict(result.Findings)
}

// errorFinding returns the finding for an error of decoding.
func errorFinding(data []byte, err error) linter.Finding {
	var syntax *json.SyntaxError
	if errors.As(json.Unmarshal(data, new(json.RawMessage)), &syntax) {
		line := 1 + bytes.Count(data[:min(int(syntax.Offset), len(data))], []byte("\n"))
		return linter.Finding{Severity: linter.SeverityError, Reason: syntax.Error(), Line: line}
	}
	f := linter.Finding{Severity: linter.SeverityError, Reason: err.Error()}
	var field *egretflow.FieldError
	if errors.As(err, &field) {
		f.Field, f.Reason = field.Field, field.Reason
	}
	return f
}

// changes returns what differs from the version in force.
func (c *checkCommand) changes(tables *egretflow.Tables) ([]editor.Change, error) {
	data, err := os.ReadFile(c.Against)
	if err != nil {
		return nil, fmt.Errorf("read version in force: %w", err)
	}
	inForce, err := c.Form.decode(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.Against, err)
	}
	return editor.Diff(inForce, tables)
}

// verdict returns an error if the configuration must not be sent.
func (c *checkCommand) verdict(findings []linter.Finding) error {
	for _, f := range findings {
		if c.Strict || f.Severity == linter.SeverityError {
			return fmt.Errorf("%s: %w", c.File, errFindings)
		}
	}
	return nil
}

// printCheck prints a result as JSON or as one line for each finding and change.
func (a *app) printCheck(c *checkCommand, r *checkResult) error {
	if a.JSON {
		return a.printJSON(r)
	}
	for _, f := range r.Findings {
		fmt.Fprintf(&a.out, "%s:%d: %s: %s: %s\n", c.File, f.Line, f.Severity, f.Field, f.Reason)
	}
	if c.Against != "" {
		a.printChanges(r.Changes)
	}
	return nil
}

// decode decodes and checks a file with the checks of the program itself.
func (f form) decode(data []byte) (*egretflow.Tables, error) {
	if f == formTables {
		return editor.DecodeTables(data)
	}
	c, err := platform.DecodeConfiguration(data)
	if err != nil {
		return nil, err
	}
	return &egretflow.Tables{Routes: c.Routes, Pools: c.Pools, Organisations: c.Organisations}, nil
}

// path returns the path in a file of the form of a field of the tables.
func (f form) path(field string) string {
	if f == formTables {
		return field
	}
	return platform.FieldPath(field)
}
