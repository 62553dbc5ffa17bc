package engine_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"agateswitch/port"
	"agateswitch/sse"
	"agateswitch/standin/engine"

	"github.com/shoenig/test/must"
)

// An endless answer starts at once. Callers would time out if the engine made all tokens before it
// sent the first.
func TestEndlessAnswerBeginsAtOnce(t *testing.T) {
	server := httptest.NewServer(engine.New(engine.Options{ID: "e1"}))
	defer server.Close()
	defer server.CloseClientConnections()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/chat/completions",
		strings.NewReader(`{"stream": true, "max_tokens": 1099511627776, "messages": [{"role": "user", "content": "hello"}]}`))
	must.NoError(t, err)
	request.Header.Set(port.HeaderRequestID, "r1")
	answer, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	defer answer.Body.Close()
	event, err := sse.NewReader(answer.Body).Next()
	must.NoError(t, err)
	must.StrContains(t, string(event.Data), "hello#0")
}
