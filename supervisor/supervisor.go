// Package supervisor runs the tasks of a process as an oklog/run group with a
// defined start and stop order.
//
// # Usage
//
//	err := supervisor.Run(ctx, []supervisor.Task{
//		{Name: "scheduler", Run: s.Run},
//		{Name: "frontend", Run: f.Run},
//	})
//
// # Rules
//
//  1. Tasks start in the order of the list. A task with Ready delays the start
//     of the tasks after it until Ready is closed.
//  2. When ctx ends, or a task returns, all tasks are stopped in reverse order:
//     the context of a task ends only after all later tasks have returned, so a
//     task can use the tasks before it until it returns.
//  3. Run returns the error of the task that returned first, or nil if ctx ended
//     first.
package supervisor

import (
	"context"
	"fmt"

	"github.com/oklog/run"
	"github.com/pkg/errors"
)

// Task is a long-running part of the process.
type Task struct {
	Name string
	// Run works until ctx ends. The time until it returns after that delays the
	// stop of earlier tasks. A return before ctx ends stops all tasks.
	Run func(ctx context.Context) error
	// Ready, if not nil, is closed by the task when later tasks may start.
	Ready <-chan struct{}
}

// errStopped is the result of the group when ctx ended before any task.
var errStopped = errors.New("stopped")

// Run runs the tasks until ctx ends or a task returns.
func Run(ctx context.Context, tasks []Task) error {
	var group run.Group
	// The group interrupts its actors one after the other in the order in which
	// they were added, so the last task comes first.
	for n := len(tasks) - 1; n >= 0; n-- {
		addTask(&group, tasks, n)
	}
	stop, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-stop.Done()
		return errStopped
	}, func(error) { cancel() })
	if err := group.Run(); err != nil && !errors.Is(err, errStopped) {
		return fmt.Errorf("run group: %w", err)
	}
	return nil
}

// addTask adds task n to the group. The interrupt function waits until the task
// has returned, which gives the stop order of the package doc.
func addTask(group *run.Group, tasks []Task, n int) {
	task := tasks[n]
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	group.Add(func() error {
		defer close(done)
		if !awaitReady(ctx, tasks[:n]) {
			return nil
		}
		if err := task.Run(ctx); err != nil {
			return fmt.Errorf("task %s: %w", task.Name, err)
		}
		if ctx.Err() == nil {
			return fmt.Errorf("task %s ended early", task.Name)
		}
		return nil
	}, func(error) {
		cancel()
		<-done
	})
}

// awaitReady waits until all earlier tasks are ready. It returns false if ctx ends
// first.
func awaitReady(ctx context.Context, earlier []Task) bool {
	for _, t := range earlier {
		if t.Ready == nil {
			continue
		}
		select {
		case <-t.Ready:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
