// Package proptest sets fixed seeds for property tests, so that CI runs are
// reproducible. `make fuzz` passes its own -rapid.seed and -rapid.checks.
package proptest

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

// Settings are defaults for the property tests of a package; zero leaves rapid's
// own. Flags on the command line take precedence.
type Settings struct {
	Checks int // number of runs of each property
	Steps  int // average number of steps in a run of a state machine
}

// Main sets the defaults, runs the tests and exits. Call it as the body of
// TestMain.
func Main(m *testing.M, settings Settings) {
	flag.Parse()
	setDefault("rapid.seed", "1")
	setDefault("rapid.nofailfile", "true")
	if settings.Checks > 0 {
		setDefault("rapid.checks", fmt.Sprint(settings.Checks))
	}
	if settings.Steps > 0 {
		setDefault("rapid.steps", fmt.Sprint(settings.Steps))
	}
	os.Exit(m.Run())
}

// setDefault sets a flag unless the command line does.
func setDefault(name, value string) {
	for _, arg := range os.Args[1:] {
		if strings.HasPrefix(strings.TrimLeft(arg, "-"), name+"=") {
			return
		}
	}
	if err := flag.Set(name, value); err != nil {
		fmt.Fprintln(os.Stderr, "proptest:", err)
		os.Exit(2)
	}
}
