//go:build review

// Command cell-3 plays a case of the review: it starts stand-ins of the platform and the
// system's own programs on loopback addresses, and checks a rule from what clients and
// runners see. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// verdict is the result of a case.
type verdict int

const (
	held      verdict = 0
	broken    verdict = 1
	cannotRun verdict = 2
)

var cases = map[string]func(root, folder string) (verdict, string){
	"fields":    fields,
	"unstarted": unstarted,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cell-3 CASE FOLDER TROUBLE (0: without the disruption)")
		os.Exit(int(cannotRun))
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(cannotRun))
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(cannotRun))
	}
	trouble = os.Args[3] != "0"
	done := make(chan struct{})
	result, text := cannotRun, "interrupted"
	go func() {
		defer close(done)
		result, text = cases[os.Args[1]](root, folder)
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case <-done:
	case <-interrupted:
		if c := running.Load(); c != nil {
			c.close()
		}
		os.Exit(int(cannotRun))
	}
	names := [...]string{"the rule held", "the rule was broken", "the case could not run"}
	fmt.Printf("%s: %s\n", names[result], text)
	if c := running.Load(); c != nil {
		c.note("%s: %s", names[result], text)
		c.close()
		time.Sleep(200 * time.Millisecond)
	}
	os.Exit(int(result))
}
