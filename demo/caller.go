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

// Outcome of a call as the caller saw it.
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

// Result is the end of one call.
type Result struct {
	Outcome    Outcome
	Code       fleet.Code
	FirstToken time.Duration
}

// maxTries is how many entry hosts a caller tries for one call.
const maxTries = 5

// caller sends calls as a careful client does: it goes on to another entry host when one
// cannot be reached, resumes cut streams, and resends non-idempotent calls with their key.
type caller struct {
	client *http.Client
	team   fleet.Team
	// entry returns the next entry host to use.
	entry func() string
}

// do sends a request to entry hosts until one answers.
func (c caller) do(ctx context.Context, method, path, body string, header http.Header) (*http.Response, error) {
	var failure error
	for range maxTries {
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
		failure = err
	}
	return nil, errors.Trace(failure)
}

// chat streams one completion and checks that the answer is whole and its own.
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
		return refusal(json.NewDecoder(answer.Body))
	}
	received := &stream{started: started}
	received.read(answer)
	for tries := 1; received.cut && tries < maxTries; tries++ {
		c.resume(ctx, received, answer.Header)
	}
	return received.result(strings.Join(engine.Tokens(prompt, tokens), ""))
}

// resume reads the rest of a cut stream from any entry host.
func (c caller) resume(ctx context.Context, received *stream, first http.Header) {
	header := http.Header{
		callerhttp.HeaderResumeToken: {first.Get(callerhttp.HeaderResumeToken)}, "Last-Event-Id": {received.lastID},
	}
	path := upstreamhttp.PathCompletions + "/" + first.Get(port.HeaderRequestID)
	answer, err := c.do(ctx, http.MethodGet, path, "", header)
	if err != nil {
		return
	}
	if answer.StatusCode != http.StatusOK {
		defer answer.Body.Close()
		received.ended(refusal(json.NewDecoder(answer.Body)))
		return
	}
	received.read(answer)
}

func refusal(decoder *json.Decoder) Result {
	var body callerhttp.ErrorBody
	if decoder.Decode(&body) != nil || body.Error.Code == "" {
		return Result{Outcome: Lost}
	}
	if body.Error.NotRun == "true" {
		return Result{Outcome: Refused, Code: body.Error.Code}
	}
	return Result{Outcome: Unknown, Code: body.Error.Code}
}

type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// stream is an answer as far as it has been received.
type stream struct {
	started    time.Time
	firstToken time.Duration
	text       strings.Builder
	lastID     string
	// cut is true when the stream ended without its end.
	cut bool
	// refused is set when the stream ended in an error event.
	refused *Result
}

// read takes the events of one connection.
func (s *stream) read(answer *http.Response) {
	defer answer.Body.Close()
	s.cut = false
	events := sse.NewReader(answer.Body)
	for {
		event, err := events.Next()
		if err != nil {
			s.cut = true
			return
		}
		if event.Name == "error" {
			s.ended(refusal(json.NewDecoder(strings.NewReader(string(event.Data)))))
			return
		}
		if event.IsDone() {
			return
		}
		s.take(event)
	}
}

func (s *stream) take(event sse.Event) {
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

// ended notes that the stream ended in a refusal.
func (s *stream) ended(result Result) {
	s.cut = false
	s.refused = &result
}

// result judges the stream against the text that belongs to the request.
func (s *stream) result(want string) Result {
	switch {
	case s.cut:
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

// call makes one call of a plain service and checks that the answer is its own.
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
		return refusal(json.NewDecoder(answer.Body))
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
