package telemetry

import (
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// A reader that does not read does not block writers: lines are dropped and counted.
func TestSlowReaderDoesNotBlockWriter(t *testing.T) {
	reader, writer := io.Pipe()
	lines := NewAsyncWriter(writer)
	metrics, err := NewMetrics()
	must.NoError(t, err)
	must.NoError(t, lines.Observe(metrics.Meter()))
	for i := range 2 * maxQueuedLines {
		length, err := fmt.Fprintf(lines, "line %d\n", i)
		must.NoError(t, err)
		must.Positive(t, length)
	}
	must.GreaterEq(t, maxQueuedLines-1, int(lines.dropped.Load()))
	answer := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	must.StrContains(t, answer.Body.String(), "agateswitch_log_lines_dropped_total")
	go lines.Close()
	text, err := io.ReadAll(io.LimitReader(reader, 100))
	must.NoError(t, err)
	must.True(t, strings.HasPrefix(string(text), "line 0\nline 1\n"))
	reader.Close()
}
