// Command testverdict reads the output of "go test -json" and decides whether
// a run passed. Failures listed in the file of known failures are printed and
// passed over; a listed test that passed or did not run is reported as well.
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

// maxLine bounds one line of test output, in bytes.
const maxLine = 16 << 20

type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

type result struct {
	passed, failed, skipped int
	failures                []string
	outputs                 map[string]*strings.Builder
	finished                map[string]string // test name to its last action
	packageFailures         []string
}

func main() {
	known := flag.String("known", "KNOWN-RED.txt", "file that lists known failures, one test name at the start of a line")
	flag.Parse()
	if flag.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "usage: testverdict [-known FILE] TEST.json")
		os.Exit(2)
	}
	res, err := read(flag.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "testverdict:", err)
		os.Exit(2)
	}
	names, err := readKnown(*known)
	if err != nil {
		fmt.Fprintln(os.Stderr, "testverdict:", err)
		os.Exit(2)
	}
	if !report(res, names) {
		os.Exit(1)
	}
}

func read(path string) (*result, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	res := &result{outputs: map[string]*strings.Builder{}, finished: map[string]string{}}
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLine)
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

func (r *result) add(ev event) {
	key := ev.Package + "." + ev.Test
	switch ev.Action {
	case "output", "build-output":
		if r.outputs[key] == nil {
			r.outputs[key] = &strings.Builder{}
		}
		r.outputs[key].WriteString(ev.Output)
	case "pass", "fail", "skip":
		r.finish(key, ev)
	}
}

func (r *result) finish(key string, ev event) {
	if ev.Test == "" {
		if ev.Action == "fail" {
			r.packageFailures = append(r.packageFailures, ev.Package)
		}
		return
	}
	r.finished[key] = ev.Action
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

func readKnown(path string) ([]string, error) {
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

// report prints the verdict and returns whether the run passed.
func report(r *result, known []string) bool {
	failedPackages := map[string]bool{}
	unexpected := 0
	sort.Strings(r.failures)
	for _, key := range r.failures {
		failedPackages[packageOf(key)] = true
		if isKnown(key, known) {
			fmt.Println("known failure:", key)
			continue
		}
		unexpected++
		fmt.Println("--- FAIL:", key)
		if out := r.outputs[key]; out != nil {
			fmt.Print(out.String())
		}
	}
	unexpected += r.reportPackages(failedPackages)
	r.reportNotRun(known)
	fmt.Printf("%d passed, %d failed, %d skipped\n", r.passed, r.failed, r.skipped)
	if r.passed == 0 {
		fmt.Println("no test ran")
		return false
	}
	return unexpected == 0
}

// reportPackages prints packages that failed without a failed test, such as
// those that do not build, and returns their number.
func (r *result) reportPackages(explained map[string]bool) int {
	count := 0
	for _, pkg := range r.packageFailures {
		if explained[pkg] {
			continue
		}
		count++
		fmt.Println("--- FAIL: package", pkg)
		for key, out := range r.outputs {
			if strings.HasPrefix(key, pkg) {
				fmt.Print(out.String())
			}
		}
	}
	return count
}

func (r *result) reportNotRun(known []string) {
	for _, name := range known {
		seen := ""
		for key, action := range r.finished {
			if strings.HasSuffix(key, "."+name) {
				seen = action
			}
		}
		switch seen {
		case "pass":
			fmt.Println("known failure passed this time:", name)
		case "":
			fmt.Println("known failure not run:", name)
		}
	}
}

func packageOf(key string) string {
	slash := strings.LastIndex(key, "/")
	dot := strings.Index(key[slash+1:], ".")
	if testSlash := strings.Index(key, ".Test"); testSlash >= 0 {
		return key[:testSlash]
	}
	return key[:slash+1+dot]
}

// isKnown reports whether the failure is listed. The parent of a listed
// subtest counts as listed too, because its failure is the subtest's.
func isKnown(key string, known []string) bool {
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
