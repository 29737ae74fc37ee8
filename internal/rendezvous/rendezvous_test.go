package rendezvous

import (
	"fmt"
	"testing"

	"github.com/egretflow/egretflow"
)

// Guards against instances that rank differently because their lists have another
// order or omit the instance itself, and against a removed member that moves keys
// other than those it was first for.
func TestTop(t *testing.T) {
	var members, reversed []egretflow.Member
	for n := range 50 {
		m := egretflow.Member{Name: egretflow.InstanceName(fmt.Sprint("entry-", n))}
		members = append(members, m)
		reversed = append([]egretflow.Member{m}, reversed...)
	}
	firsts := map[egretflow.InstanceName]int{}
	for key := range 1000 {
		all := Top(fmt.Sprint(key), members, "entry-7", 2)
		if other := Top(fmt.Sprint(key), reversed[1:], "entry-49", 2); len(other) != 2 || other[0] != all[0] || other[1] != all[1] {
			t.Fatalf("key %d: got %v and %v", key, all, other)
		}
		firsts[all[0].Name]++
		without := Top(fmt.Sprint(key), members[1:], "entry-7", 1)[0]
		if want := all[0]; want.Name != "entry-0" && without != want {
			t.Errorf("key %d moved from %s to %s", key, want.Name, without.Name)
		}
	}
	for name, n := range firsts {
		if n > 50 {
			t.Errorf("%s is first for %d of 1000 keys", name, n)
		}
	}
}

func BenchmarkTop(b *testing.B) {
	var members []egretflow.Member
	for n := range 690 {
		members = append(members, egretflow.Member{Name: egretflow.InstanceName(fmt.Sprint("entry-", n))})
	}
	for b.Loop() {
		Top("Claims/3", members, "entry-7", 2)
	}
}
