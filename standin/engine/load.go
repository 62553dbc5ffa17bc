package engine

import (
	"encoding/json"
	"net/http"

	"agateswitch/adapter/upstreamhttp"

	"github.com/google/uuid"
)

// bytesPerToken is the ratio by which the tokens of a prompt are estimated from its bytes.
const bytesPerToken = 4

// load holds the values of an engine's load report. Engine.mu guards it.
type load struct {
	incarnation string
	running     int
	work        int64
	completed   int64
}

func newIncarnation() string { return uuid.NewString()[:8] }

// begin counts a running request and returns its work in tokens: the prompt, unless its prefix is
// cached, and the tokens to generate.
func (l *load) begin(promptBytes int, uncached bool, tokens int) int64 {
	work := int64(tokens)
	if uncached {
		work += int64(promptBytes / bytesPerToken)
	}
	l.running++
	l.work += work
	return work
}

// end counts a completed request, whose work begin has returned.
func (l *load) end(work int64) {
	l.running--
	l.work -= work
	l.completed++
}

// serveLoad answers with an ORCA load report.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := upstreamhttp.LoadReport{NamedMetrics: upstreamhttp.LoadMetrics{
		Incarnation: e.load.incarnation, Running: e.load.running, Work: e.load.work,
		Completed: e.load.completed, CacheEntries: e.recent.Len(),
	}}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(report)
}

// Restart simulates a restart of the engine: a new incarnation with an empty cache.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load.incarnation = newIncarnation()
	e.load.completed = 0
	clear(e.cache)
	e.recent.Init()
}
