// Command testverdict reads the output of "go test -json" and decides whether
// the run passed. A failure listed in the file of known failures is printed but
// does not fail the run. A listed test that passed or did not run is printed as
// well.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
)

// maxLineBytes bounds one line of the input.
const maxLineBytes = 16 << 20

// event is one line of the output of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// results collects the events of a run. A test key is PACKAGE.TEST.
type results struct {
	passed, failed, skipped int
	failures                []string                    // keys of the failed tests
	output                  map[string]*strings.Builder // by test key
	lastAction              map[string]string           // result (pass, fail or skip) by test key
	packageFailures         []string                    // packages that failed, with or without a failed test
}

func main() {
	known := flag.String("known", "KNOWN-RED.txt", "file of known failures (one per line, the test name first; may be absent)")
	flag.Parse()
	if flag.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "usage: testverdict [-known FILE] TEST.json")
		os.Exit(2)
	}
	res, err := readResults(flag.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "testverdict:", err)
		os.Exit(2)
	}
	names, err := readKnownFailures(*known)
	if err != nil {
		fmt.Fprintln(os.Stderr, "testverdict:", err)
		os.Exit(2)
	}
	if !report(res, names) {
		os.Exit(1)
	}
}

func readResults(path string) (*results, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	res := &results{output: map[string]*strings.Builder{}, lastAction: map[string]string{}}
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var ev event
		if json.Unmarshal(scanner.Bytes(), &ev) != nil {
			fmt.Println(scanner.Text())
			continue
		}
		res.add(ev)
	}
	return res, scanner.Err()
}

func (r *results) add(ev event) {
	key := ev.Package + "." + ev.Test
	switch ev.Action {
	case "output", "build-output":
		if r.output[key] == nil {
			r.output[key] = &strings.Builder{}
		}
		r.output[key].WriteString(ev.Output)
	case "pass", "fail", "skip":
		r.finish(key, ev)
	}
}

func (r *results) finish(key string, ev event) {
	if ev.Test == "" {
		if ev.Action == "fail" {
			r.packageFailures = append(r.packageFailures, ev.Package)
		}
		return
	}
	r.lastAction[key] = ev.Action
	switch ev.Action {
	case "pass":
		r.passed++
	case "skip":
		r.skipped++
	case "fail":
		r.failed++
		r.failures = append(r.failures, key)
	}
}

func readKnownFailures(path string) ([]string, error) {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var names []string
	for _, line := range strings.Split(string(data), "\n") {
		name, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		if strings.HasPrefix(name, "Test") || strings.HasPrefix(name, "Fuzz") {
			names = append(names, name)
		}
	}
	return names, nil
}

// report prints the results and returns whether the run passed.
func report(r *results, known []string) bool {
	failedPackages := map[string]bool{}
	unexpected := 0
	sort.Strings(r.failures)
	for _, key := range r.failures {
		failedPackages[packageOf(key)] = true
		if isKnownFailure(key, known) {
			fmt.Println("known failure:", key)
			continue
		}
		unexpected++
		fmt.Println("--- FAIL:", key)
		if out := r.output[key]; out != nil {
			fmt.Print(out.String())
		}
	}
	unexpected += r.reportPackages(failedPackages)
	r.reportKnownNotFailed(known)
	fmt.Printf("%d passed, %d failed, %d skipped\n", r.passed, r.failed, r.skipped)
	if r.passed == 0 {
		fmt.Println("no test ran")
		return false
	}
	return unexpected == 0
}

// reportPackages prints packages that failed without a failed test, such as
// those that do not build, and returns their number. withFailedTest holds the
// packages to leave out.
func (r *results) reportPackages(withFailedTest map[string]bool) int {
	count := 0
	for _, pkg := range r.packageFailures {
		if withFailedTest[pkg] {
			continue
		}
		count++
		fmt.Println("--- FAIL: package", pkg)
		for key, out := range r.output {
			if strings.HasPrefix(key, pkg) {
				fmt.Print(out.String())
			}
		}
	}
	return count
}

// reportKnownNotFailed prints the known failures that passed or did not run.
func (r *results) reportKnownNotFailed(known []string) {
	for _, name := range known {
		last := ""
		for key, action := range r.lastAction {
			if strings.HasSuffix(key, "."+name) {
				last = action
			}
		}
		switch last {
		case "pass":
			fmt.Println("known failure passed this time:", name)
		case "":
			fmt.Println("known failure not run:", name)
		}
	}
}

// packageOf returns the package of a test key.
func packageOf(key string) string {
	slash := strings.LastIndex(key, "/")
	dot := strings.Index(key[slash+1:], ".")
	if testSlash := strings.Index(key, ".Test"); testSlash >= 0 {
		return key[:testSlash]
	}
	return key[:slash+1+dot]
}

// isKnownFailure reports whether the failed test is listed. The parent of a
// listed subtest counts as listed, because a failed subtest fails its parent.
func isKnownFailure(key string, known []string) bool {
	for _, name := range known {
		if strings.HasSuffix(key, "."+name) {
			return true
		}
		if parent, _, ok := strings.Cut(name, "/"); ok && strings.HasSuffix(key, "."+parent) {
			return true
		}
	}
	return false
}
