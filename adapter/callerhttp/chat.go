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
	// bytesPerToken estimates the tokens of a prompt from its bytes.
	bytesPerToken = 4
	// defaultDecode is the expected number of generated tokens without a limit in the request.
	defaultDecode = 256
	// maxDecode bounds what a request can add to an upstream's load by its limit.
	maxDecode = 1 << 20
)

// completionBody holds the fields of a chat completion that the router reads.
type completionBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           int64           `json:"max_tokens"`
	MaxCompletionTokens int64           `json:"max_completion_tokens"`
	PromptCacheKey      string          `json:"prompt_cache_key"`
}

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
		Body:    body, Stream: parsed.Stream, Silence: contract.StallTimeout(),
	}
	s.Chat.Run(r.Context(), call, s.newChatSink(w, call.Request))
}

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

// parseCompletion reads the fields of a body that the router needs, and checks them.
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

// expectedDecode returns the number of generated tokens to expect.
func (c completionBody) expectedDecode() fleet.Work {
	decode := max(c.MaxTokens, c.MaxCompletionTokens)
	if decode == 0 {
		decode = defaultDecode
	}
	return fleet.Work(min(decode, maxDecode))
}

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
		// Chats of different teams never share an identity.
		Chat:    fleet.ChatID(string(contract.Team) + "/" + chatID),
		Prefill: fleet.Work(len(parsed.Messages)/bytesPerToken + 1), Decode: parsed.expectedDecode(),
		Priority: contract.Priority, Deadline: time.Now().Add(contract.FirstTokenTimeout()),
	}
}

// readBody reads a whole body within its limits of size and time.
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
