package callerhttp

import (
	"testing"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// For every body, the parser either refuses it as a bad request that has not run, or returns a load
// between one token and maxDecodeTokens.
func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"lm","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`))
	f.Add([]byte(`{"messages":"x","max_tokens":9223372036854775807}`))
	f.Add([]byte(`{"messages":[],"max_tokens":-1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		parsed, refusal := parseCompletion(body)
		if refusal != nil {
			must.Eq(t, fleet.CodeBadRequest, refusal.Code)
			must.Eq(t, fleet.NotRun, refusal.Ran)
			return
		}
		decode := parsed.expectedDecode()
		must.Between(t, 1, decode, maxDecodeTokens)
	})
}
