// Command harness plays the scripted cases of the second review. It starts the system's
// program as separate processes on loopback addresses, with stand-ins of the store, of the
// replicas and of the clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is how long a case may take.
const longest = 118 * time.Second

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	root := flag.String("root", ".", "root of the repository")
	folder := flag.String("folder", "", "folder of the case, for record.txt")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	cases := map[string]func(root string, rec *record, trouble bool) (bool, error){
		"crashmemory": crashMemory,
		"crashpart":   crashPart(1, 0),
		"longprompt":  crashPart(0, 35),
		"wrongpart":   wrongPart,
	}
	play, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(failed)
	}
	rec, err := newRecord(*folder + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	go endEarly(rec)
	ok, err = play(*root, rec, *trouble)
	switch {
	case err != nil:
		rec.print("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(failed)
	case ok:
		os.Exit(held)
	}
	os.Exit(broken)
}

// endEarly ends all processes and the harness when it is asked to end or takes too long.
func endEarly(rec *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(longest):
	}
	rec.print("the case is ended early")
	endAll()
	os.Exit(failed)
}
