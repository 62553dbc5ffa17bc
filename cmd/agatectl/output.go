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

// show prints a value as JSON, or calls text for people.
func show(command *cobra.Command, o *options, value any, text func()) error {
	if o.output == "text" {
		text()
		return nil
	}
	encoder := json.NewEncoder(command.OutOrStdout())
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func indent(value json.RawMessage) string {
	var buffer bytes.Buffer
	if json.Indent(&buffer, value, "", "  ") != nil {
		return string(value)
	}
	return buffer.String()
}

// printDiff prints the lines that a change removes and adds.
func printDiff(w io.Writer, before *configuration.Item, value json.RawMessage) {
	var old []string
	if before != nil {
		old = strings.Split(indent(before.Value), "\n")
	}
	updated := strings.Split(indent(value), "\n")
	removed, added := missing(old, updated), missing(updated, old)
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

// missing returns the lines of a that b lacks.
func missing(a, b []string) []string {
	present := map[string]int{}
	for _, line := range b {
		present[strings.TrimSuffix(line, ",")]++
	}
	var lines []string
	for _, line := range a {
		bare := strings.TrimSuffix(line, ",")
		if present[bare] == 0 {
			lines = append(lines, line)
			continue
		}
		present[bare]--
	}
	return lines
}
