package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"agateswitch/adapter/callerhttp"
	"agateswitch/adapter/upstreamhttp"
	"agateswitch/core/fleet"
	"agateswitch/examples"
	"agateswitch/port"
	"agateswitch/sse"
	"agateswitch/standin/engine"
	"agateswitch/standin/service"

	"github.com/juju/errors"
)

// Outcome is the outcome of a call as its caller sees it.
type Outcome string

// Outcomes of calls. Lost, Truncated, Mismatched and Duplicated are faults of the system.
const (
	Complete   Outcome = "complete"
	Refused    Outcome = "refused"
	Unknown    Outcome = "unknown"
	Lost       Outcome = "lost"
	Truncated  Outcome = "truncated"
	Mismatched Outcome = "mismatched"
	Duplicated Outcome = "duplicated"
)

// Result is the result of one call.
type Result struct {
	Outcome    Outcome
	Code       fleet.Code
	FirstToken time.Duration
}

// maxAttempts is the maximum number of entry hosts that a caller tries for one request, and of
// requests, the first and its resumptions, that it sends for one stream.
const maxAttempts = 5

// caller sends calls as a well-behaved client does: it tries another entry host when one cannot be
// reached, resumes truncated streams, and resends non-idempotent calls with their idempotency key.
type caller struct {
	client *http.Client
	team   fleet.Team
	// entry returns the next entry host to use.
	entry func() string
}

// do sends a request to one entry host after another until one answers, at most maxAttempts times.
func (c caller) do(ctx context.Context, method, path, body string, header http.Header) (*http.Response, error) {
	var lastErr error
	for range maxAttempts {
		request, err := http.NewRequestWithContext(ctx, method, "http://"+c.entry()+path, strings.NewReader(body))
		if err != nil {
			return nil, errors.Trace(err)
		}
		request.Header = header.Clone()
		request.Header.Set("Authorization", "Bearer "+examples.Key(c.team))
		answer, err := c.client.Do(request)
		if err == nil {
			return answer, nil
		}
		lastErr = err
	}
	return nil, errors.Trace(lastErr)
}

// chat streams one completion and checks that the answer is complete and belongs to the request.
func (c caller) chat(ctx context.Context, pool fleet.PoolID, chat, prompt string, tokens int) Result {
	body := string(mustJSON(map[string]any{
		"model": pool, "stream": true, "max_tokens": tokens, "prompt_cache_key": chat,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	}))
	started := time.Now()
	answer, err := c.do(ctx, http.MethodPost, upstreamhttp.PathCompletions, body, http.Header{})
	if err != nil {
		return Result{Outcome: Lost}
	}
	if answer.StatusCode != http.StatusOK {
		defer answer.Body.Close()
		return decodeRefusal(json.NewDecoder(answer.Body))
	}
	received := &stream{started: started}
	received.read(answer)
	for attempt := 1; received.truncated && attempt < maxAttempts; attempt++ {
		c.resume(ctx, received, answer.Header)
	}
	return received.result(strings.Join(engine.Tokens(prompt, tokens), ""))
}

// resume reads the rest of a truncated stream from any entry host. firstHeader is the header of the
// stream's first answer.
func (c caller) resume(ctx context.Context, received *stream, firstHeader http.Header) {
	header := http.Header{
		callerhttp.HeaderResumeToken: {firstHeader.Get(callerhttp.HeaderResumeToken)}, "Last-Event-Id": {received.lastID},
	}
	path := upstreamhttp.PathCompletions + "/" + firstHeader.Get(port.HeaderRequestID)
	answer, err := c.do(ctx, http.MethodGet, path, "", header)
	if err != nil {
		return
	}
	if answer.StatusCode != http.StatusOK {
		defer answer.Body.Close()
		received.endWithRefusal(decodeRefusal(json.NewDecoder(answer.Body)))
		return
	}
	received.read(answer)
}

// decodeRefusal reads an error body. An answer that is not one counts as a lost call.
func decodeRefusal(decoder *json.Decoder) Result {
	var body callerhttp.ErrorBody
	if decoder.Decode(&body) != nil || body.Error.Code == "" {
		return Result{Outcome: Lost}
	}
	if body.Error.NotRun == "true" {
		return Result{Outcome: Refused, Code: body.Error.Code}
	}
	return Result{Outcome: Unknown, Code: body.Error.Code}
}

// streamChunk holds the fields of a stream event that the caller reads.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// stream is the part of a streamed answer that has been received.
type stream struct {
	started    time.Time
	firstToken time.Duration
	text       strings.Builder
	lastID     string
	// truncated is true if the connection ended before the stream's last event.
	truncated bool
	// refused is set if the stream ended in an error event or its resumption was refused.
	refused *Result
}

// read handles the events of one connection.
func (s *stream) read(answer *http.Response) {
	defer answer.Body.Close()
	s.truncated = false
	events := sse.NewReader(answer.Body)
	for {
		event, err := events.Next()
		if err != nil {
			s.truncated = true
			return
		}
		if event.Name == "error" {
			s.endWithRefusal(decodeRefusal(json.NewDecoder(strings.NewReader(string(event.Data)))))
			return
		}
		if event.IsDone() {
			return
		}
		s.handleEvent(event)
	}
}

// handleEvent appends the text of an event and records its id.
func (s *stream) handleEvent(event sse.Event) {
	if s.firstToken == 0 {
		s.firstToken = time.Since(s.started)
	}
	if event.ID != "" {
		s.lastID = event.ID
	}
	var chunk streamChunk
	if err := json.Unmarshal(event.Data, &chunk); err == nil && len(chunk.Choices) > 0 {
		s.text.WriteString(chunk.Choices[0].Delta.Content)
	}
}

// endWithRefusal records that the stream ended in a refusal.
func (s *stream) endWithRefusal(result Result) {
	s.truncated = false
	s.refused = &result
}

// result compares the stream with the expected text and returns the result of the call.
func (s *stream) result(want string) Result {
	switch {
	case s.truncated:
		return Result{Outcome: Truncated}
	case s.refused != nil && !strings.HasPrefix(want, s.text.String()):
		return Result{Outcome: Mismatched}
	case s.refused != nil:
		return *s.refused
	case s.text.String() != want:
		return Result{Outcome: Mismatched}
	}
	return Result{Outcome: Complete, FirstToken: s.firstToken}
}

// call makes one call to a plain service and checks that the answer belongs to the call.
func (c caller) call(ctx context.Context, method, path, body, key string) Result {
	header := http.Header{}
	if key != "" {
		header.Set(callerhttp.HeaderIdempotencyKey, key)
	}
	started := time.Now()
	answer, err := c.do(ctx, method, path, body, header)
	if err != nil {
		return Result{Outcome: Lost}
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return decodeRefusal(json.NewDecoder(answer.Body))
	}
	result := Result{Outcome: Complete, FirstToken: time.Since(started)}
	var got service.Answer
	if err := json.NewDecoder(answer.Body).Decode(&got); err != nil {
		result.Outcome = Truncated
		return result
	}
	if got.Body != body {
		result.Outcome = Mismatched
	}
	if got.Run > 1 {
		result.Outcome = Duplicated
	}
	return result
}
