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

type run struct {
	known    map[string]bool
	output   map[string][]string
	failed   []string
	red      []string
	passed   int
	testFail map[string]bool
}

func main() {
	known, err := readKnown(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &run{known: known, output: map[string][]string{}, testFail: map[string]bool{}}
	scanner := bufio.NewScanner(os.Stdin)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		r.line(scanner.Bytes())
	}
	os.Exit(r.report())
}

// readKnown reads the entries: lines of the form "test: PACKAGE TestName".
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

func (r *run) line(text []byte) {
	var e event
	if json.Unmarshal(text, &e) != nil {
		fmt.Println(string(text))
		return
	}
	key := e.Package + " " + e.Test
	switch e.Action {
	case "output", "build-output":
		r.output[key] = append(r.output[key], e.Output)
		if e.Action == "build-output" {
			fmt.Print(e.Output)
		}
	case "pass":
		if e.Test != "" {
			r.passed++
		} else {
			fmt.Println("ok  ", e.Package)
		}
		delete(r.output, key)
	case "fail":
		r.fail(e, key)
	}
}

func (r *run) fail(e event, key string) {
	if e.Test == "" {
		// A package also fails when one of its tests did, which counts by itself.
		if !r.testFail[e.Package] {
			r.failed = append(r.failed, key)
			r.printPackage(e.Package)
		}
		return
	}
	r.testFail[e.Package] = true
	fmt.Print(strings.Join(r.output[key], ""))
	top, _, _ := strings.Cut(e.Test, "/")
	if r.known[e.Package+" "+top] {
		r.red = append(r.red, key)
		return
	}
	r.failed = append(r.failed, key)
}

// printPackage prints what a package that died has written: its last words stand in the output
// of a test that has neither passed nor failed.
func (r *run) printPackage(name string) {
	for key, lines := range r.output {
		if strings.HasPrefix(key, name+" ") {
			fmt.Print(strings.Join(lines, ""))
		}
	}
}

func (r *run) report() int {
	for _, key := range r.red {
		fmt.Println("known red:", key)
	}
	for _, key := range r.failed {
		fmt.Println("FAIL:", key)
	}
	fmt.Printf("%d passed, %d failed\n", r.passed, len(r.failed))
	if len(r.failed) > 0 || r.passed == 0 {
		return 1
	}
	return 0
}
