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
//     the context of a task ends only after all later tasks have returned. So a
//     task can use those before it until its end.
//  3. Run returns the error of the task that returned first, and nil after a
//     regular stop.
package supervisor

import (
	"context"
	"fmt"

	"github.com/oklog/run"
	"github.com/pkg/errors"
)

// Task is one part of the process.
type Task struct {
	Name string
	// Run works until ctx ends. What it does after that delays the stop of
	// earlier tasks.
	Run func(ctx context.Context) error
	// Ready, if set, is closed by the task when later tasks may start.
	Ready <-chan struct{}
}

// errStopped marks the regular stop of the group.
var errStopped = errors.New("stopped")

// Run runs the tasks until ctx ends or a task returns.
func Run(ctx context.Context, tasks []Task) error {
	var group run.Group
	// The group interrupts its actors one after the other in the order in which
	// they were added, so the last task comes first.
	for n := len(tasks) - 1; n >= 0; n-- {
		add(&group, tasks, n)
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

func add(group *run.Group, tasks []Task, n int) {
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
