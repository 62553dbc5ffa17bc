// Command knownred reads the output of "go test -json", prints what failed, and exits
// non-zero unless every failed test is listed in the known-red file given as argument.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

// event is one line of "go test -json" (cmd/test2json).
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// summary collects the results of a test run.
type summary struct {
	// known has the entries of the known-red file, as "PACKAGE TestName".
	known map[string]bool
	// output buffers the output of each test, by package and test name, until it passes.
	output        map[string][]string
	failures      []string
	knownFailures []string
	passed        int
	// hasFailedTest has the packages in which a test failed.
	hasFailedTest map[string]bool
}

func main() {
	known, err := readKnown(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	s := &summary{known: known, output: map[string][]string{}, hasFailedTest: map[string]bool{}}
	scanner := bufio.NewScanner(os.Stdin)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		s.handleLine(scanner.Bytes())
	}
	os.Exit(s.report())
}

// readKnown reads the entries of the known-red file: lines of the form "test: PACKAGE TestName".
func readKnown(path string) (map[string]bool, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	known := map[string]bool{}
	for _, line := range strings.Split(string(content), "\n") {
		if name, found := strings.CutPrefix(line, "test: "); found {
			known[strings.TrimSpace(name)] = true
		}
	}
	return known, nil
}

// handleLine processes one line of input. A line that is not JSON is printed as it is.
func (s *summary) handleLine(text []byte) {
	var e event
	if json.Unmarshal(text, &e) != nil {
		fmt.Println(string(text))
		return
	}
	key := e.Package + " " + e.Test
	switch e.Action {
	case "output", "build-output":
		s.output[key] = append(s.output[key], e.Output)
		if e.Action == "build-output" {
			fmt.Print(e.Output)
		}
	case "pass":
		if e.Test != "" {
			s.passed++
		} else {
			fmt.Println("ok  ", e.Package)
		}
		delete(s.output, key)
	case "fail":
		s.recordFailure(e, key)
	}
}

// recordFailure prints the output of a failed test or package, and sorts it into known and other
// failures. A subtest counts as known if its top-level test is listed.
func (s *summary) recordFailure(e event, key string) {
	if e.Test == "" {
		// A package event also follows a failed test, which is already counted. The tests of a package may have
		// run in several processes, of which each has its own package event.
		if !s.hasFailedTest[e.Package] {
			s.failures = append(s.failures, key)
			s.printPackage(e.Package)
		}
		delete(s.hasFailedTest, e.Package)
		return
	}
	s.hasFailedTest[e.Package] = true
	fmt.Print(strings.Join(s.output[key], ""))
	top, _, _ := strings.Cut(e.Test, "/")
	if s.known[e.Package+" "+top] {
		s.knownFailures = append(s.knownFailures, key)
		return
	}
	s.failures = append(s.failures, key)
}

// printPackage prints the remaining output of a package that crashed. A crash report is part of the
// output of a test that has neither passed nor failed.
func (s *summary) printPackage(name string) {
	for key, lines := range s.output {
		if strings.HasPrefix(key, name+" ") {
			fmt.Print(strings.Join(lines, ""))
		}
	}
}

// report prints the summary and returns the exit code.
func (s *summary) report() int {
	for _, key := range s.knownFailures {
		fmt.Println("known red:", key)
	}
	for _, key := range s.failures {
		fmt.Println("FAIL:", key)
	}
	fmt.Printf("%d passed, %d failed\n", s.passed, len(s.failures))
	if len(s.failures) > 0 || s.passed == 0 {
		return 1
	}
	return 0
}
