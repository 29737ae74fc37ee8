package supervisor

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// journal records starts and stops in order.
type journal struct {
	mu    sync.Mutex
	lines []string
}

func (j *journal) add(line string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, line)
}

// task returns a task that records its start and stop. It closes ready, if not
// nil, one second after its start and returns stopFor after its context ends.
func (j *journal) task(name string, ready chan struct{}, stopFor time.Duration) Task {
	return Task{Name: name, Ready: ready, Run: func(ctx context.Context) error {
		j.add("start " + name)
		if ready != nil {
			time.Sleep(time.Second)
			close(ready)
		}
		<-ctx.Done()
		time.Sleep(stopFor)
		j.add("stop " + name)
		return nil
	}}
}

// TestStartAndStopOrder guards against a task that is stopped while a later one
// still uses it, and against one that starts before an earlier one is ready.
func TestStartAndStopOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := &journal{}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		ready := []chan struct{}{make(chan struct{}), make(chan struct{})}
		err := Run(ctx, []Task{
			j.task("store", ready[0], 0), j.task("scheduler", ready[1], time.Second), j.task("frontend", nil, 10*time.Second),
		})
		want := []string{"start store", "start scheduler", "start frontend", "stop frontend", "stop scheduler", "stop store"}
		if err != nil || !slices.Equal(j.lines, want) {
			t.Errorf("error %v, order %q, want %q", err, j.lines, want)
		}
	})
}

// TestTaskEndStopsAll guards against a process that continues after one of its
// tasks has returned, with or without an error.
func TestTaskEndStopsAll(t *testing.T) {
	broken := errors.New("broken")
	for name, tt := range map[string]struct {
		err  error
		want string
	}{"Error": {broken, "task b: broken"}, "EarlyEnd": {nil, "task b ended early"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				j := &journal{}
				err := Run(t.Context(), []Task{j.task("a", nil, 0), {Name: "b", Run: func(context.Context) error { return tt.err }}})
				if err == nil || !strings.Contains(err.Error(), tt.want) {
					t.Errorf("error %v, want %s", err, tt.want)
				}
				if len(j.lines) > 0 && j.lines[len(j.lines)-1] != "stop a" {
					t.Errorf("task a was not stopped: %q", j.lines)
				}
			})
		})
	}
}
