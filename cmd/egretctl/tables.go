package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/editor"
	"github.com/pkg/errors"
)

type tablesCommand struct {
	Get     getCommand     `cmd:"" help:"Print the tables or the value at a path."`
	Set     setCommand     `cmd:"" help:"Set the value at a path."`
	Delete  deleteCommand  `cmd:"" help:"Delete the element or field at a path."`
	Diff    diffCommand    `cmd:"" help:"Show what applying a file would change."`
	Apply   applyCommand   `cmd:"" help:"Replace the tables by a file."`
	DryRun  dryRunCommand  `cmd:"" help:"Check a file as apply does and show its changes."`
	Restore restoreCommand `cmd:"" help:"Replace the tables of a store that came back from an older copy."`
}

// editFlags holds the flags of all commands that write to the tables.
type editFlags struct {
	Who    string             `env:"EGRETFLOW_WHO,USER" help:"Operator, for the audit trail."`
	Reason string             `short:"m" help:"Reason, for the audit trail."`
	Base   egretflow.Revision `help:"Refuse the edit unless this is the current revision."`
	EditID string             `name:"edit-id" help:"Resume an edit whose outcome was unknown."`
	DryRun bool               `help:"Check and show the changes, but write nothing."`
}

// edit applies the steps as one edit and prints the changes.
func (f *editFlags) edit(ctx context.Context, a *app, steps ...editor.Step) error {
	return f.editAbove(ctx, a, 0, steps...)
}

// editAbove applies the steps as one edit at a revision higher than above and prints
// the changes.
func (f *editFlags) editAbove(ctx context.Context, a *app, above egretflow.Revision, steps ...editor.Step) error {
	ed, err := a.editor()
	if err != nil {
		return err
	}
	r := editor.Request{
		EditID: f.EditID, Who: f.Who, Reason: f.Reason, Base: f.Base, MustExceed: above, DryRun: f.DryRun, Steps: steps,
	}
	if f.DryRun {
		// A dry run leaves no entry in the audit trail, so it needs no reason.
		r.Who, r.Reason = "dry-run", "dry-run"
	}
	result, err := ed.Edit(ctx, r)
	if errors.Is(err, egretflow.ErrUncertain) {
		return fmt.Errorf("%w\nrepeat the command with --edit-id %s", err, result.EditID)
	}
	if err != nil {
		return err
	}
	return a.printResult(result)
}

func (a *app) printResult(r *editor.Result) error {
	if a.JSON {
		return a.printJSON(r)
	}
	a.printChanges(r.Changes)
	state := "revision %d is unchanged\n"
	if r.Written {
		state = "revision %d is accepted\n"
	}
	fmt.Fprintf(&a.out, state, r.Revision)
	return nil
}

func (a *app) printChanges(changes []editor.Change) {
	for _, c := range changes {
		fmt.Fprintln(&a.out, c)
	}
	if len(changes) == 0 {
		fmt.Fprintln(&a.out, "no changes")
	}
}

func (a *app) printJSON(v any) error {
	enc := json.NewEncoder(&a.out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

type getCommand struct {
	Path string `arg:"" optional:"" help:"Path such as Routes/chat or Pools/letters/Servers/moshi-4."`
}

// Run prints the tables or the value at Path as JSON.
func (c *getCommand) Run(ctx context.Context, a *app) error {
	ed, err := a.editor()
	if err != nil {
		return err
	}
	tables, err := ed.Tables(ctx)
	if err != nil {
		return err
	}
	value, err := editor.ValueAt(tables, c.Path)
	if err != nil {
		return err
	}
	return a.printJSON(value)
}

type setCommand struct {
	editFlags
	Path  string `arg:"" help:"Path of the value."`
	Value string `arg:"" help:"JSON value, or - to read it from standard input."`
}

// Run sets the value at Path.
func (c *setCommand) Run(ctx context.Context, a *app) error {
	value := []byte(c.Value)
	if c.Value == "-" {
		var err error
		if value, err = io.ReadAll(os.Stdin); err != nil {
			return fmt.Errorf("read value: %w", err)
		}
	}
	return c.edit(ctx, a, editor.Step{Operation: editor.OperationSet, Path: c.Path, Value: value})
}

type deleteCommand struct {
	editFlags
	Path string `arg:"" help:"Path of the element or field."`
}

// Run deletes the element or field at Path.
func (c *deleteCommand) Run(ctx context.Context, a *app) error {
	return c.edit(ctx, a, editor.Step{Operation: editor.OperationDelete, Path: c.Path})
}

// fileArgument is a file with tables in the format that the command "tables get"
// prints.
type fileArgument struct {
	File string `arg:"" type:"existingfile" help:"JSON file with the tables."`
}

// read returns the content of the file and the tables that it holds.
func (f *fileArgument) read() ([]byte, *egretflow.Tables, error) {
	data, err := os.ReadFile(f.File)
	if err != nil {
		return nil, nil, fmt.Errorf("read tables: %w", err)
	}
	tables, err := editor.DecodeTables(data)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", f.File, err)
	}
	return data, tables, nil
}

type diffCommand struct {
	fileArgument
}

// Run prints the changes that applying the file would make.
func (c *diffCommand) Run(ctx context.Context, a *app) error {
	_, wanted, err := c.read()
	if err != nil {
		return err
	}
	ed, err := a.editor()
	if err != nil {
		return err
	}
	current, err := ed.Tables(ctx)
	if err != nil {
		return err
	}
	changes, err := editor.Diff(current, wanted)
	if err != nil {
		return err
	}
	if a.JSON {
		return a.printJSON(changes)
	}
	a.printChanges(changes)
	return nil
}

type applyCommand struct {
	editFlags
	fileArgument
}

// Run replaces the tables by those of the file. Without --base, the Revision of the
// file, if it has one, is the base of the edit.
func (c *applyCommand) Run(ctx context.Context, a *app) error {
	data, tables, err := c.read()
	if err != nil {
		return err
	}
	if c.Base == 0 {
		c.Base = tables.Revision
	}
	return c.edit(ctx, a, editor.Step{Operation: editor.OperationSet, Value: data})
}

type dryRunCommand struct {
	fileArgument
}

// Run checks the file as apply does and prints the changes without writing them.
func (c *dryRunCommand) Run(ctx context.Context, a *app) error {
	apply := applyCommand{editFlags: editFlags{DryRun: true}, fileArgument: c.fileArgument}
	return apply.Run(ctx, a)
}
