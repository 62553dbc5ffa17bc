// Package engine is a small stand-in for a model engine: it streams chat completions, has a prefix
// cache of limited size, and resumes and cancels streams. Answers are a function of the request, so
// that a caller can check that an answer is complete and belongs to its request.
package engine

import (
	"container/list"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"agateswitch/adapter/upstreamhttp"
	"agateswitch/port"
	"agateswitch/sse"
)

// Options are the speed and the cache size of an engine.
type Options struct {
	ID string
	// PrefillPerToken is the prefill time per uncached prompt token.
	PrefillPerToken time.Duration
	// TokenInterval is the time between generated tokens.
	TokenInterval time.Duration
	// CacheEntries is the capacity of the prefix cache in chats. Default: 256.
	CacheEntries int
}

// Counts are the request and cache counters of an engine.
type Counts struct {
	Requests    int64 `json:"requests"`
	CacheHits   int64 `json:"cache_hits"`
	CacheMisses int64 `json:"cache_misses"`
	Cancelled   int64 `json:"cancelled"`
	Running     int64 `json:"running"`
}

// PathCounts is the path that serves Counts.
const PathCounts = "/standin/counts"

// Engine is the stand-in. It is an http.Handler.
type Engine struct {
	options Options
	mux     *http.ServeMux

	mu      sync.Mutex
	counts  Counts
	cache   map[string]*list.Element
	recent  *list.List
	streams map[string]*generation
	load    load
	plans   []Plan
	runs    map[string]int
}

// New returns an engine with an empty cache.
func New(options Options) *Engine {
	if options.CacheEntries == 0 {
		options.CacheEntries = 256
	}
	e := &Engine{
		options: options, mux: http.NewServeMux(),
		cache: map[string]*list.Element{}, recent: list.New(), streams: map[string]*generation{},
		runs: map[string]int{},
	}
	e.mux.HandleFunc("POST "+upstreamhttp.PathCompletions, e.complete)
	e.mux.HandleFunc("GET "+upstreamhttp.PathCompletions+"/{id}", e.resume)
	e.mux.HandleFunc("POST "+upstreamhttp.PathCompletions+"/{id}/cancel", e.cancel)
	e.load.incarnation = newIncarnation()
	e.mux.HandleFunc("GET "+upstreamhttp.PathLoad, e.serveLoad)
	e.mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(e.Counts()) })
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Counts returns the counters since the engine was made.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// completionRequest holds the fields of a chat completion request that the engine reads.
type completionRequest struct {
	Model          string `json:"model"`
	Stream         bool   `json:"stream"`
	MaxTokens      int    `json:"max_tokens"`
	PromptCacheKey string `json:"prompt_cache_key"`
	Messages       []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

// defaultMaxTokens is the length of the answer to a request without max_tokens.
const defaultMaxTokens = 16

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || len(request.Messages) == 0 {
		http.Error(w, `{"error":{"message":"not a chat completion"}}`, http.StatusBadRequest)
		return
	}
	id := r.Header.Get(port.HeaderRequestID)
	w.Header().Set(port.HeaderRequestID, id)
	plan := e.nextPlan()
	if plan.failBeforeRun(w) {
		return
	}
	generated := e.start(id, request)
	if plan.Fault == FaultMismatched {
		generated = mismatched(generated)
	}
	if request.Stream {
		e.stream(w, r, generated, 0, plan)
		return
	}
	generated.writeBuffered(w, r, plan)
}

// start counts a request and begins to generate its answer in the background.
func (e *Engine) start(id string, request completionRequest) *generation {
	prompt := request.Messages[len(request.Messages)-1].Content
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Requests++
	e.counts.Running++
	e.runs[id]++
	size := 0
	for _, message := range request.Messages {
		size += len(message.Content)
	}
	prefill := time.Duration(size/4) * e.options.PrefillPerToken
	if e.touch(request.PromptCacheKey) {
		e.counts.CacheHits++
		prefill = 0
	} else {
		e.counts.CacheMisses++
	}
	generated := newGeneration(id, request.Model, prompt, request.MaxTokens)
	e.streams[id] = generated
	work := e.load.begin(size, prefill > 0, request.MaxTokens)
	go e.run(generated, prefill, work)
	return generated
}

// Tokens returns the complete answer to a prompt.
func Tokens(prompt string, count int) []string {
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = token(prompt, i)
	}
	return tokens
}

func token(prompt string, index int) string { return fmt.Sprintf("%s#%d ", prompt, index) }

// touch marks a chat as the most recently used and reports whether its prefix was cached. It
// evicts the least recently used chat when the cache is full. The caller holds e.mu.
func (e *Engine) touch(chat string) bool {
	if chat == "" {
		return false
	}
	if element, found := e.cache[chat]; found {
		e.recent.MoveToFront(element)
		return true
	}
	e.cache[chat] = e.recent.PushFront(chat)
	if e.recent.Len() > e.options.CacheEntries {
		oldest := e.recent.Remove(e.recent.Back()).(string)
		delete(e.cache, oldest)
	}
	return false
}

// run generates the tokens at the engine's speed.
func (e *Engine) run(generated *generation, prefill time.Duration, work int64) {
	time.Sleep(prefill)
	for generated.advance() {
		time.Sleep(e.options.TokenInterval)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Running--
	e.load.end(work)
}

// find returns the generation that the request's path names, and answers 404 if there is none.
func (e *Engine) find(w http.ResponseWriter, r *http.Request) (*generation, bool) {
	id := r.PathValue("id")
	w.Header().Set(port.HeaderRequestID, id)
	e.mu.Lock()
	generated, found := e.streams[id]
	e.mu.Unlock()
	if !found {
		http.Error(w, `{"error":{"message":"no such completion"}}`, http.StatusNotFound)
	}
	return generated, found
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get(upstreamhttp.ParamStartingAfter))
	if err != nil {
		after = 0
	}
	generated, found := e.find(w, r)
	if !found {
		return
	}
	plan := e.nextPlan()
	if plan.failBeforeRun(w) {
		return
	}
	if plan.Fault == FaultMismatched {
		generated = mismatched(generated)
	}
	if r.URL.Query().Get("stream") == "true" {
		e.stream(w, r, generated, after, plan)
		return
	}
	generated.writeBuffered(w, r, plan)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, generated *generation, after int, plan Plan) {
	if plan.Fault == FaultForget {
		defer e.removeStream(generated.id)
	}
	generated.stream(w, r, after, plan)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	generated, found := e.find(w, r)
	if !found {
		return
	}
	if generated.cancel() {
		e.mu.Lock()
		e.counts.Cancelled++
		e.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

var doneEvent = sse.Event{Data: []byte(sse.Done)}
