package callerhttp

import (
	"net/http"
	"strconv"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/resume"
	"agateswitch/sse"
)

// bufferedWriteTimeout is the maximum time for writing an answer that is not streamed.
const bufferedWriteTimeout = 30 * time.Second

// chatSink writes the answer to a chat completion to the caller.
type chatSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	keys       resume.Keys
	self       fleet.HostID
	request    fleet.Request
	// begun is true after the header of a stream was written.
	begun  bool
	buffer []byte
}

func (s *Server) newChatSink(w http.ResponseWriter, request fleet.Request) *chatSink {
	return &chatSink{w: w, controller: http.NewResponseController(w), keys: s.ResumeKeys, self: s.Members.Self().ID, request: request}
}

// Buffered implements chat.Sink.
func (c *chatSink) Buffered(status int, contentType string, body []byte) {
	c.w.Header().Set("Content-Type", contentType)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.controller.SetWriteDeadline(time.Now().Add(bufferedWriteTimeout))
	c.w.WriteHeader(status)
	c.w.Write(body)
}

// Begin implements chat.Sink.
func (c *chatSink) Begin(grant fleet.Grant) {
	c.begun = true
	header := c.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderResumeToken, c.keys.Sign(resume.Token{
		Team: c.request.Team, Pool: c.request.Pool, Request: c.request.ID, Host: c.self,
		Upstream: grant.Upstream.ID, Address: grant.Upstream.Address,
		DataCentre: grant.Upstream.DataCentre,
		Expires:    time.Now().Add(resume.TokenTTL).UTC(),
	}))
	c.w.WriteHeader(http.StatusOK)
}

// Event implements chat.Sink.
func (c *chatSink) Event(event sse.Event) error {
	c.buffer = sse.Append(c.buffer[:0], event)
	c.controller.SetWriteDeadline(time.Now().Add(WriteTimeout))
	if _, err := c.w.Write(c.buffer); err != nil {
		return err
	}
	return c.controller.Flush()
}

// Refuse implements chat.Sink. If the stream has begun, the refusal is sent as an error event.
func (c *chatSink) Refuse(refusal *fleet.Refusal) {
	if !c.begun {
		WriteRefusal(c.w, refusal)
		return
	}
	c.Event(sse.Event{Name: "error", Data: EncodeRefusal(refusal)})
}
