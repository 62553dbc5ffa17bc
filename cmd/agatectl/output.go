package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"agateswitch/core/configuration"

	"github.com/spf13/cobra"
)

// printResult prints a value as JSON, or calls printText if the output format is text.
func printResult(command *cobra.Command, o *options, value any, printText func()) error {
	if o.output == "text" {
		printText()
		return nil
	}
	encoder := json.NewEncoder(command.OutOrStdout())
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// indent returns indented JSON, or the value unchanged if it is not valid JSON.
func indent(value json.RawMessage) string {
	var buffer bytes.Buffer
	if json.Indent(&buffer, value, "", "  ") != nil {
		return string(value)
	}
	return buffer.String()
}

// printDiff prints the lines that a change removes and adds. A nil before is a new item.
func printDiff(w io.Writer, before *configuration.Item, value json.RawMessage) {
	var old []string
	if before != nil {
		old = strings.Split(indent(before.Value), "\n")
	}
	updated := strings.Split(indent(value), "\n")
	removed, added := linesNotIn(old, updated), linesNotIn(updated, old)
	if len(removed) == 0 && len(added) == 0 {
		fmt.Fprintln(w, "no change")
	}
	for _, line := range removed {
		fmt.Fprintln(w, "-", line)
	}
	for _, line := range added {
		fmt.Fprintln(w, "+", line)
	}
}

// linesNotIn returns the lines of a that are not in b, counting duplicates. It ignores a trailing
// comma, which depends on the position of a line and not on its content.
func linesNotIn(a, b []string) []string {
	present := map[string]int{}
	for _, line := range b {
		present[strings.TrimSuffix(line, ",")]++
	}
	var lines []string
	for _, line := range a {
		trimmed := strings.TrimSuffix(line, ",")
		if present[trimmed] == 0 {
			lines = append(lines, line)
			continue
		}
		present[trimmed]--
	}
	return lines
}
