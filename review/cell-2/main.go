//go:build review2

// Command cell-2 plays the scripted cases of the second review: it starts nodes of the
// system as processes, beside stand-ins of their platform, and checks one rule.
//
// The exit code is 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// timeLimit ends a case that takes longer than it may.
const timeLimit = 110 * time.Second

// cases are the scripted cases by name. Without trouble a case leaves out its disruption.
var cases = map[string]func(c *Cell, trouble bool) int{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cell-2 CASE FOLDER RECORD")
		os.Exit(exitNotRun)
	}
	cell := NewCell(os.Args[2], os.Args[3])
	verdict := make(chan int, 1)
	go func() { verdict <- cases[os.Args[1]](cell, os.Getenv("TROUBLE") != "0") }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	code := exitNotRun
	select {
	case code = <-verdict:
	case <-time.After(timeLimit):
	case <-interrupted:
	}
	cell.note("verdict", "code", code)
	cell.Close()
	os.Exit(code)
}
