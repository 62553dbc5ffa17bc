// Package callerhttp serves callers: chat completions, plain services and the addresses
// of the entry hosts.
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

// Limits towards callers.
const (
	// MaxBodyBytes is the largest body of a chat completion or of a non-idempotent call.
	MaxBodyBytes = 4 << 20
	// MaxHeaderBytes is the largest request header.
	MaxHeaderBytes = 32 << 10
	// HeaderTimeout is how long a caller may take to send its header.
	HeaderTimeout = 5 * time.Second
	// BodyTimeout is how long a caller may take to send a body that is read whole.
	BodyTimeout = 30 * time.Second
	// IdleTimeout is how long an unused connection stays open.
	IdleTimeout = 2 * time.Minute
	// WriteTimeout is how long one write to a caller may take.
	WriteTimeout = 10 * time.Second
	// MaxServiceBodyBytes is the largest body that is streamed to a plain service.
	MaxServiceBodyBytes = 64 << 20
	// ServiceBodyTimeout is how long a caller may take to send such a body, and
	// ServiceBodyIdle how long it may pause.
	ServiceBodyTimeout = 2 * time.Minute
	ServiceBodyIdle    = 10 * time.Second
)

// HeaderChat names the chat of a request. Without it, the body's prompt_cache_key counts.
const HeaderChat = "X-Chat-Id"

// HeaderIdempotencyKey carries the key of a non-idempotent call, a UUIDv7
// (draft-ietf-httpapi-idempotency-key-header).
const HeaderIdempotencyKey = "Idempotency-Key"

// HeaderResumeToken carries the token that gets the rest of a stream from any router.
const HeaderResumeToken = "X-Resume-Token"

// Server answers callers. All exported fields are needed.
type Server struct {
	Config     port.Configuration
	Members    port.Members
	Chat       *chat.Service
	Forward    *forward.Service
	Log        *log.Logger
	ResumeKeys resume.Keys

	leaving atomic.Bool
	running running
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

// Leave makes every further answer ask its caller to close the connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// Running returns the ids of the requests that are being answered.
func (s *Server) Running() []fleet.RequestID { return s.running.ids() }

// Harden sets the limits of a server for callers.
func Harden(server *http.Server) {
	server.ReadHeaderTimeout = HeaderTimeout
	server.IdleTimeout = IdleTimeout
	server.MaxHeaderBytes = MaxHeaderBytes
}
