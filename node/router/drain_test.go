package router_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"agateswitch/core/resume"
	"agateswitch/sse"
	"agateswitch/standin/engine"

	"github.com/shoenig/test/must"
)

const streamTokens = 200

func awaitEvent(t *testing.T, what string, event <-chan struct{}) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(eventTimeout):
		t.Fatalf("%s did not happen", what)
	}
}

// A leaving router is removed from the list of entry hosts, serves for as long as callers may cache
// that list, and asks each caller to close its connection.
func TestLeavingRouterServesWhileEntryAnswersAreCached(t *testing.T) {
	f := startFleet(t, time.Hour, time.Millisecond)
	first := f.routers[0]
	initial := f.request(t, http.MethodGet, first.callers, "/v1/entry", "", nil)
	must.False(t, initial.Close)
	first.stop()
	entry := initial
	for limit := eventDeadline(t); !entry.Close; {
		must.NoError(t, limit.Err(), must.Sprint("the router does not ask for connections to be closed"))
		entry = f.request(t, http.MethodGet, first.callers, "/v1/entry", "", nil)
	}
	body, err := io.ReadAll(entry.Body)
	must.NoError(t, err)
	must.StrNotContains(t, string(body), first.callers)
	stream := f.stream(t, first.callers, streamTokens)
	must.True(t, stream.Close)
	text, _, done := readEvents(t, sse.NewReader(stream.Body), streamTokens+1)
	must.True(t, done)
	must.Eq(t, strings.Join(engine.Tokens("hello", streamTokens), ""), text)
}

// A planned stop completes running streams.
func TestPlannedStopFinishesRequests(t *testing.T) {
	f := startFleet(t, 0, 5*time.Millisecond)
	first := f.routers[0]
	answer := f.stream(t, first.callers, streamTokens)
	events := sse.NewReader(answer.Body)
	text, _, _ := readEvents(t, events, 3)
	first.stop()
	rest, _, done := readEvents(t, events, streamTokens+1)
	must.True(t, done)
	must.Eq(t, strings.Join(engine.Tokens("hello", streamTokens), ""), text+rest)
	awaitEvent(t, "the end of the router", first.ended)
	must.StrContains(t, first.log.String(), "left the fleet; all requests have finished")
}

// A second signal stops the router at once, and the log lists the requests that were running.
func TestForcedStopLogsRunningRequests(t *testing.T) {
	f := startFleet(t, time.Hour, 50*time.Millisecond)
	first := f.routers[0]
	answer := f.stream(t, first.callers, 1<<20)
	readEvents(t, sse.NewReader(answer.Body), 2)
	first.stop()
	first.forceStop()
	awaitEvent(t, "the end of the router", first.ended)
	must.StrContains(t, first.log.String(), "forced stop before the end of the drain; running requests are aborted")
	must.StrContains(t, first.log.String(), "count=1")
	must.StrContains(t, first.log.String(), answer.Header.Get("X-Request-Id"))
}

// With the resume token of a stream, a caller gets the rest from another router. A request without
// the token, with the token of another stream or with an invalid event id is refused.
func TestAnotherRouterResumesStreamByToken(t *testing.T) {
	f := startFleet(t, 0, 5*time.Millisecond)
	answer := f.stream(t, f.routers[0].callers, streamTokens)
	token, id := answer.Header.Get("X-Resume-Token"), answer.Header.Get("X-Request-Id")
	must.LessEq(t, resume.MaxTokenBytes, len(token))
	text, last, _ := readEvents(t, sse.NewReader(answer.Body), 7)
	path := "/v1/chat/completions/" + id

	refused := f.request(t, http.MethodGet, f.routers[1].callers, path, "", nil)
	must.Eq(t, http.StatusBadRequest, refused.StatusCode)
	refused = f.request(t, http.MethodGet, f.routers[1].callers, "/v1/chat/completions/other", "", http.Header{"X-Resume-Token": {token}})
	must.Eq(t, http.StatusForbidden, refused.StatusCode)
	refused = f.request(t, http.MethodGet, f.routers[1].callers, path, "", http.Header{"X-Resume-Token": {token}, "Last-Event-Id": {"x"}})
	must.Eq(t, http.StatusBadRequest, refused.StatusCode)

	for _, rest := range []*http.Response{
		f.request(t, http.MethodGet, f.routers[1].callers, path, "", http.Header{"X-Resume-Token": {token}, "Last-Event-Id": {last}}),
		f.request(t, http.MethodGet, f.routers[1].callers, path+"?starting_after="+last, "", http.Header{"X-Resume-Token": {token}}),
	} {
		must.Eq(t, http.StatusOK, rest.StatusCode)
		restText, _, done := readEvents(t, sse.NewReader(rest.Body), streamTokens+1)
		must.True(t, done)
		must.Eq(t, strings.Join(engine.Tokens("hello", streamTokens), ""), text+restText)
	}
	must.Eq(t, 1, f.engine.Runs()[id])
}
