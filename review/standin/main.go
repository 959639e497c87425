//go:build review

// Command review-standin plays the cases of the review: it runs a small deployment with
// the project's own programs and stand-ins of the platform, its runners and its clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// A scenario returns whether the rule was broken, and why.
type scenario func(w *world, trouble bool) (broken bool, verdict string, err error)

var scenarios = map[string]scenario{
	"backlog": backlog,
	"lasting": lastingTasks,
	"kind":    changedKind,
	"relist":  relisted,
	"upkeep":  lateUpkeep,
	"forgot":  forgotten,
}

// longestPlay bounds the time of a play.
const longestPlay = 110 * time.Second

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin SCENARIO RECORD")
		return exitNotRun
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-signals:
		case <-time.After(longestPlay):
		}
		fmt.Println("could not run: ended before its time")
		w.close()
		os.Exit(exitNotRun)
	}()
	broken, verdict, err := scenarios[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.log("test", "could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	w.log("test", "%s", verdict)
	fmt.Println(verdict)
	if broken {
		return exitBroken
	}
	return exitHeld
}
