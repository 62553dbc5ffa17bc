package demo

import (
	"fmt"
	"io"

	"agateswitch/examples"
)

// WriteHints prints commands to try against a running fleet.
func (f *Fleet) WriteHints(w io.Writer) {
	team := f.Example.Contracts[0].Team
	fmt.Fprintln(w, "\nThe fleet runs until Ctrl-C. Try:")
	fmt.Fprintf(w, "  curl -s -H 'Authorization: Bearer %s' 'http://%s/v1/entry?chat=c1'\n", examples.Key(team), f.Entries[0])
	fmt.Fprintf(w, "  curl -sN -H 'Authorization: Bearer %s' http://%s/v1/chat/completions -d '%s'\n",
		examples.Key(team), f.Entries[0],
		fmt.Sprintf(`{"model":"%s","stream":true,"max_tokens":8,"prompt_cache_key":"c1","messages":[{"role":"user","content":"hello"}]}`, f.enginePool()))
	fmt.Fprintf(w, "  go run ./cmd/agatectl --server %s --token %s status\n", f.Operators[0], OperatorToken)
	fmt.Fprintf(w, "  go run ./cmd/agatectl --server %s --token %s explain c1 --team %s --pool %s\n",
		f.Operators[0], OperatorToken, team, f.enginePool())
}
