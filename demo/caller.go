package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"agateswitch/adapter/callerhttp"
	"agateswitch/core/fleet"
	"agateswitch/examples"
	"agateswitch/sse"
	"agateswitch/standin/engine"
	"agateswitch/standin/service"

	"github.com/juju/errors"
)

// Outcome of a call as the caller saw it.
type Outcome string

// Outcomes of calls. Lost, Cut, Crossed and RunTwice are faults of the system.
const (
	Whole    Outcome = "whole"
	Refused  Outcome = "refused"
	Unknown  Outcome = "unknown"
	Lost     Outcome = "lost"
	Cut      Outcome = "cut"
	Crossed  Outcome = "crossed"
	RunTwice Outcome = "run twice"
)

// Result is the end of one call.
type Result struct {
	Outcome    Outcome
	Code       fleet.Code
	FirstToken time.Duration
}

type caller struct {
	client *http.Client
}

func (c caller) request(ctx context.Context, method, address, path, body string, team fleet.Team) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+examples.Key(team))
	return request, nil
}

// chat streams one completion and checks that the answer is whole and its own.
func (c caller) chat(ctx context.Context, address string, team fleet.Team, pool fleet.PoolID, chat, prompt string, tokens int) Result {
	body := string(mustJSON(map[string]any{
		"model": pool, "stream": true, "max_tokens": tokens, "prompt_cache_key": chat,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	}))
	request, err := c.request(ctx, http.MethodPost, address, "/v1/chat/completions", body, team)
	if err != nil {
		return Result{Outcome: Lost}
	}
	started := time.Now()
	answer, err := c.client.Do(request)
	if err != nil {
		return Result{Outcome: Lost}
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return refusal(json.NewDecoder(answer.Body))
	}
	return readStream(sse.NewReader(answer.Body), started, strings.Join(engine.Tokens(prompt, tokens), ""))
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

func readStream(events *sse.Reader, started time.Time, want string) Result {
	var result Result
	var text strings.Builder
	for {
		event, err := events.Next()
		if err != nil {
			result.Outcome = Cut
			return result
		}
		if event.Name == "error" {
			return refusal(json.NewDecoder(strings.NewReader(string(event.Data))))
		}
		if result.FirstToken == 0 {
			result.FirstToken = time.Since(started)
		}
		if event.IsDone() {
			break
		}
		var chunk streamChunk
		if err := json.Unmarshal(event.Data, &chunk); err == nil && len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	result.Outcome = Whole
	if text.String() != want {
		result.Outcome = Crossed
	}
	return result
}

// call makes one call of a plain service and checks that the answer is its own.
func (c caller) call(ctx context.Context, address, method, path, body, key string, team fleet.Team) Result {
	request, err := c.request(ctx, method, address, path, body, team)
	if err != nil {
		return Result{Outcome: Lost}
	}
	if key != "" {
		request.Header.Set(callerhttp.HeaderIdempotencyKey, key)
	}
	started := time.Now()
	answer, err := c.client.Do(request)
	if err != nil {
		return Result{Outcome: Lost}
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return refusal(json.NewDecoder(answer.Body))
	}
	result := Result{Outcome: Whole, FirstToken: time.Since(started)}
	var got service.Answer
	if err := json.NewDecoder(answer.Body).Decode(&got); err != nil {
		result.Outcome = Cut
		return result
	}
	if got.Body != body {
		result.Outcome = Crossed
	}
	if got.Run > 1 {
		result.Outcome = RunTwice
	}
	return result
}
