// Package callerhttp serves callers: chat completions, plain services and the addresses
// of the entry hosts.
package callerhttp

import (
	"net/http"
	"time"

	"agateswitch/node/chat"
	"agateswitch/node/forward"
	"agateswitch/port"

	"github.com/charmbracelet/log"
)

// Limits towards callers.
const (
	// MaxBodyBytes is the largest body of a chat completion or of a once-only call.
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
)

// HeaderChat names the chat of a request. Without it, the body's prompt_cache_key counts.
const HeaderChat = "X-Chat-Id"

// HeaderIdempotencyKey carries the key of a once-only call, a UUIDv7
// (draft-ietf-httpapi-idempotency-key-header).
const HeaderIdempotencyKey = "Idempotency-Key"

// Server answers callers. All fields are needed.
type Server struct {
	Config  port.Configuration
	Members port.Members
	Chat    *chat.Service
	Forward *forward.Service
	Log     *log.Logger
}

// Handler returns the routes for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entry", s.entry)
	mux.HandleFunc("POST /v1/chat/completions", s.completion)
	mux.HandleFunc("/", s.service)
	return withRequestID(mux)
}

// Harden sets the limits of a server for callers.
func Harden(server *http.Server) {
	server.ReadHeaderTimeout = HeaderTimeout
	server.IdleTimeout = IdleTimeout
	server.MaxHeaderBytes = MaxHeaderBytes
}
