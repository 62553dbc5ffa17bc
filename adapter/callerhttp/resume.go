package callerhttp

import (
	"net/http"
	"time"

	"agateswitch/core/exchange"
	"agateswitch/core/fleet"
	"agateswitch/node/chat"
)

// headerLastEventID carries the last event id that the caller received (WHATWG HTML, section 9.2.4).
// The query parameter queryStartingAfter is used if the header is missing.
const (
	headerLastEventID  = "Last-Event-ID"
	queryStartingAfter = "starting_after"
)

// resume sends the rest of a stream that this or another router has begun.
func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	contract, refusal := s.authenticate(r)
	if refusal != nil {
		WriteRefusal(w, refusal)
		return
	}
	token, refusal := s.ResumeKeys.Verify(r.Header.Get(HeaderResumeToken), contract.Team, time.Now())
	if refusal != nil {
		s.Log.Info("stream resumption refused", "request", requestID(r), "team", contract.Team, "reason", refusal.Message)
		WriteRefusal(w, refusal)
		return
	}
	if string(token.Request) != r.PathValue("id") {
		WriteRefusal(w, fleet.Refuse(fleet.CodeForbidden, "the resume token belongs to another completion", 0))
		return
	}
	if refusal := authorize(contract, token.Pool); refusal != nil {
		WriteRefusal(w, refusal)
		return
	}
	after, refusal := startingAfter(r)
	if refusal != nil {
		WriteRefusal(w, refusal)
		return
	}
	s.Log.Info("resuming a stream", "request", token.Request, "as", requestID(r), "team", contract.Team,
		"upstream", token.Upstream, "after", after)
	request := fleet.Request{ID: token.Request, Team: token.Team, Pool: token.Pool}
	resumption := chat.Resumption{
		Request: token.Request, After: after, Host: token.Host, Silence: contract.SilenceTimeout(),
		Upstream: fleet.Upstream{
			ID: token.Upstream, Pool: token.Pool, DataCentre: token.DataCentre, Address: token.Address, State: fleet.Live,
		},
	}
	s.Chat.Resume(r.Context(), resumption, s.newChatSink(w, request))
}

// startingAfter returns the last event id that the caller received; 0 means none.
func startingAfter(r *http.Request) (int64, *fleet.Refusal) {
	text := r.Header.Get(headerLastEventID)
	if text == "" {
		text = r.URL.Query().Get(queryStartingAfter)
	}
	if text == "" || text == "0" {
		return 0, nil
	}
	after, valid := exchange.ParseEventID(text)
	if !valid {
		return 0, fleet.Refuse(fleet.CodeBadRequest, headerLastEventID+" is not the id of an event", 0)
	}
	return after, nil
}
