// Command standin plays the cases of the review that stand in a script.
package main

import (
	"fmt"
	"io"
	"log"
	"os"
)

func main() {
	// net/http reports connections that a killed process has left here.
	log.SetOutput(io.Discard)
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	play, ok := map[string]func(w *world) bool{"poison-call": playPoisonCall, "poison-stream": playPoisonStream, "stop": playStop}[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	w := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	broken := play(w)
	w.end()
	if broken {
		w.record("result  the rule was broken")
		os.Exit(1)
	}
	w.record("result  the rule held")
}
