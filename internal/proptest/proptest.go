// Package proptest fixes the seeds of property tests, so that CI gives the same
// verdict every time. `make fuzz` passes -rapid.seed and -rapid.checks itself.
package proptest

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

// Settings are the defaults of a package's property tests. Flags on the
// command line go first.
type Settings struct {
	Checks int // runs of each property
	Steps  int // average length of a state machine's run
}

// Main is the body of a package's TestMain.
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

// setDefault sets a flag that the command line does not.
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
