// Command standin3 plays one case of review/: it starts the stand-ins of the platform, the
// replicas and the clients, and the instances under test as processes, and exits with 1 if
// the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(w *world, trouble bool) (broken bool){
	"restored-store":   restoredStore,
	"slow-start":       slowStart,
	"same-token":       sameToken,
	"idle-connections": idleConnections,
	"wrong-bytes":      wrongBytes,
	"escaped-slash":    escapedSlash,
	"changed-path":     changedPath,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE")
		os.Exit(2)
	}
	w := newWorld()
	if cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0") {
		w.end(1)
	}
	w.end(0)
}
