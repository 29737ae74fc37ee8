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

// Run writes the tables of the file at a revision above those of all instances.
// Unlike apply it ignores the Revision of the file, because the older copy in the
// store isn't the revision that the file was made from. --base is still checked.
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

// highestRevision returns the highest revision of all instances and --above. An
// instance that doesn't answer may have a higher revision and would then reject the
// restored tables, so this is an error unless --above is set.
func (c *restoreCommand) highestRevision(ctx context.Context, a *app) (egretflow.Revision, error) {
	i, err := a.instances(ctx)
	if err != nil {
		return 0, err
	}
	highest := c.Above
	var unanswered []string
	for _, s := range i.statuses(ctx, i.urls) {
		if s.Error != "" {
			unanswered = append(unanswered, s.URL)
			continue
		}
		highest = max(highest, s.Revision)
	}
	if len(unanswered) == 0 {
		return highest, nil
	}
	if c.Above == 0 {
		return 0, fmt.Errorf("no answer from %s; give the highest known revision with --above to go on without", strings.Join(unanswered, ", "))
	}
	fmt.Fprintf(&a.out, "no answer from %s\n", strings.Join(unanswered, ", "))
	return highest, nil
}
