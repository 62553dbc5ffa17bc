// Package callerhttp serves callers over HTTP: chat completions, calls of plain services and the
// addresses of the entry hosts.
package callerhttp

import (
	"net/http"
	"sync/atomic"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/resume"
	"agateswitch/node/chat"
	"agateswitch/node/forward"
	"agateswitch/port"

	"github.com/charmbracelet/log"
)

// Limits on callers' requests and connections.
const (
	// MaxBodyBytes is the maximum size of the body of a chat completion or non-idempotent call.
	MaxBodyBytes = 4 << 20
	// MaxHeaderBytes is the maximum size of a request header.
	MaxHeaderBytes = 32 << 10
	// HeaderTimeout is how long a caller may take to send its header.
	HeaderTimeout = 5 * time.Second
	// BodyTimeout is how long a caller may take to send a body that is buffered.
	BodyTimeout = 30 * time.Second
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout = 2 * time.Minute
	// WriteTimeout is the maximum time of one write of a streamed answer to a caller.
	WriteTimeout = 10 * time.Second
	// MaxServiceBodyBytes is the maximum size of a body that is streamed to a plain service.
	MaxServiceBodyBytes = 64 << 20
	// ServiceBodyTimeout is how long a caller may take to send a streamed body, and
	// ServiceBodyIdleTimeout how long it may send nothing.
	ServiceBodyTimeout     = 2 * time.Minute
	ServiceBodyIdleTimeout = 10 * time.Second
)

// HeaderChat carries the id of a request's chat. If it is missing, the body's prompt_cache_key is
// used.
const HeaderChat = "X-Chat-Id"

// HeaderIdempotencyKey carries the key of a non-idempotent call, a UUIDv7
// (draft-ietf-httpapi-idempotency-key-header).
const HeaderIdempotencyKey = "Idempotency-Key"

// HeaderResumeToken carries the token with which a caller requests the rest of a stream from any
// router.
const HeaderResumeToken = "X-Resume-Token"

// Server serves callers. All exported fields are required.
type Server struct {
	Config     port.Configuration
	Members    port.Members
	Chat       *chat.Service
	Forward    *forward.Service
	Log        *log.Logger
	ResumeKeys resume.Keys

	leaving atomic.Bool
	running runningRequests
}

// Handler returns the routes for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entry", s.entry)
	mux.HandleFunc("POST /v1/chat/completions", s.completion)
	mux.HandleFunc("GET /v1/chat/completions/{id}", s.resume)
	mux.HandleFunc("/", s.service)
	return withRequestID(s.guard(mux))
}

// Leave makes the server send Connection: close with every further answer.
func (s *Server) Leave() { s.leaving.Store(true) }

// Running returns the ids of the requests that are being answered.
func (s *Server) Running() []fleet.RequestID { return s.running.ids() }

// ApplyLimits sets the header and idle limits of an HTTP server for callers.
func ApplyLimits(server *http.Server) {
	server.ReadHeaderTimeout = HeaderTimeout
	server.IdleTimeout = IdleTimeout
	server.MaxHeaderBytes = MaxHeaderBytes
}
