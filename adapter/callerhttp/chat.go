package callerhttp

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/node/chat"
)

const (
	// bytesPerToken is the assumed number of prompt bytes per token.
	bytesPerToken = 4
	// defaultDecodeTokens is the expected number of generated tokens if the request sets no limit.
	defaultDecodeTokens = 256
	// maxDecodeTokens is the maximum load that a request can add to an upstream by its token limit.
	maxDecodeTokens = 1 << 20
)

// completionBody holds the fields that the router reads from the body of a chat completion.
type completionBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           int64           `json:"max_tokens"`
	MaxCompletionTokens int64           `json:"max_completion_tokens"`
	PromptCacheKey      string          `json:"prompt_cache_key"`
}

// completion handles a chat completion.
func (s *Server) completion(w http.ResponseWriter, r *http.Request) {
	contract, refusal := s.authenticate(r)
	if refusal != nil {
		WriteRefusal(w, refusal)
		return
	}
	body, refusal := readBody(w, r)
	if refusal != nil {
		WriteRefusal(w, refusal)
		return
	}
	parsed, refusal := parseCompletion(body)
	if refusal != nil {
		WriteRefusal(w, refusal)
		return
	}
	if refusal := s.checkCompletion(contract, parsed); refusal != nil {
		WriteRefusal(w, refusal)
		return
	}
	call := chat.Call{
		Request: s.chatRequest(r, contract, parsed),
		Body:    body, Stream: parsed.Stream, Silence: contract.SilenceTimeout(),
	}
	s.Chat.Run(r.Context(), call, s.newChatSink(w, call.Request))
}

// checkCompletion refuses a model that is not an engine pool or that the contract does not include.
func (s *Server) checkCompletion(contract configuration.Contract, parsed completionBody) *fleet.Refusal {
	pool, found := s.Config.Current().Pool(fleet.PoolID(parsed.Model))
	if !found || pool.Type != configuration.PoolEngine {
		return fleet.Refuse(fleet.CodeNotFound, "model "+strconv.Quote(parsed.Model)+" does not exist", 0)
	}
	if refusal := authorize(contract, pool.Name); refusal != nil {
		return refusal
	}
	return nil
}

// parseCompletion decodes and validates the fields of a body that the router needs.
func parseCompletion(body []byte) (completionBody, *fleet.Refusal) {
	var parsed completionBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return parsed, fleet.Refuse(fleet.CodeBadRequest, "the body is not a chat completion: "+err.Error(), 0)
	}
	if len(parsed.Messages) == 0 {
		return parsed, fleet.Refuse(fleet.CodeBadRequest, "messages is missing", 0)
	}
	if parsed.MaxTokens < 0 || parsed.MaxCompletionTokens < 0 {
		return parsed, fleet.Refuse(fleet.CodeBadRequest, "max_tokens may not be negative", 0)
	}
	return parsed, nil
}

// expectedDecode returns the expected number of generated tokens, at most maxDecodeTokens.
func (c completionBody) expectedDecode() fleet.Work {
	decode := max(c.MaxTokens, c.MaxCompletionTokens)
	if decode == 0 {
		decode = defaultDecodeTokens
	}
	return fleet.Work(min(decode, maxDecodeTokens))
}

// chatRequest returns the request to place. Its chat is named by the header, by the body's
// prompt_cache_key, or else by the request's own id.
func (s *Server) chatRequest(r *http.Request, contract configuration.Contract, parsed completionBody) fleet.Request {
	chatID := r.Header.Get(HeaderChat)
	if chatID == "" {
		chatID = parsed.PromptCacheKey
	}
	if chatID == "" {
		chatID = string(requestID(r))
	}
	return fleet.Request{
		ID: requestID(r), Team: contract.Team, Pool: fleet.PoolID(parsed.Model),
		// The team is part of the id, so that chats of different teams never share one.
		Chat:    fleet.ChatID(string(contract.Team) + "/" + chatID),
		Prefill: fleet.Work(len(parsed.Messages)/bytesPerToken + 1), Decode: parsed.expectedDecode(),
		Priority: contract.Priority, Deadline: time.Now().Add(contract.FirstTokenTimeout()),
	}
}

// readBody reads a complete body, limited by MaxBodyBytes and BodyTimeout.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *fleet.Refusal) {
	controller := http.NewResponseController(w)
	controller.SetReadDeadline(time.Now().Add(BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fleet.Refuse(fleet.CodeTooLarge, "the body is larger than "+strconv.Itoa(MaxBodyBytes)+" bytes", 0)
	}
	if err != nil {
		return nil, fleet.Refuse(fleet.CodeBadRequest, "the body could not be read", 0)
	}
	controller.SetReadDeadline(time.Time{})
	return body, nil
}
