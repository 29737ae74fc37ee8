package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/editor"
)

type restoreCommand struct {
	editFlags
	fileArgument
	Above egretflow.Revision `help:"Write above this revision too, and go on when instances do not answer."`
}

// Run implements the command. Unlike apply it ignores the Revision of the file,
// because the older copy in the store is not the base that the file was made
// from; --base still counts.
func (c *restoreCommand) Run(ctx context.Context, a *app) error {
	data, _, err := c.read()
	if err != nil {
		return err
	}
	above, err := c.highestRevision(ctx, a)
	if err != nil {
		return err
	}
	return c.editAbove(ctx, a, above, editor.Step{Operation: editor.OperationSet, Value: data})
}

// highestRevision asks every instance. One that does not answer may hold the
// highest revision and would then refuse the restored tables, so it is an error
// unless the operator gave a revision.
func (c *restoreCommand) highestRevision(ctx context.Context, a *app) (egretflow.Revision, error) {
	i, err := a.instances(ctx)
	if err != nil {
		return 0, err
	}
	highest := c.Above
	var silent []string
	for _, s := range i.statuses(ctx, i.urls) {
		if s.Error != "" {
			silent = append(silent, s.URL)
			continue
		}
		highest = max(highest, s.Revision)
	}
	if len(silent) == 0 {
		return highest, nil
	}
	if c.Above == 0 {
		return 0, fmt.Errorf("no answer from %s; give the highest known revision with --above to go on without", strings.Join(silent, ", "))
	}
	fmt.Fprintf(&a.out, "no answer from %s\n", strings.Join(silent, ", "))
	return highest, nil
}
