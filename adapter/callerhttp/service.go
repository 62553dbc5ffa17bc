package callerhttp

import (
	"io"
	"net/http"
	"strings"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/node/forward"

	"github.com/google/uuid"
)

// hopByHop lists the headers that apply to one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	// The router itself answers a caller that waits for 100 Continue.
	"Expect",
}

// service handles a call of a plain service, which the first segment of the path selects.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	contract, refusal := s.authenticate(r)
	if refusal != nil {
		WriteRefusal(w, refusalBeforeClaim(r, refusal))
		return
	}
	prefix, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	pool, found := s.Config.Current().PoolByPrefix(prefix)
	if !found {
		WriteRefusal(w, fleet.Refuse(fleet.CodeNotFound, "nothing is served under /"+prefix, 0))
		return
	}
	if refusal := authorize(contract, pool.Name); refusal != nil {
		WriteRefusal(w, refusal)
		return
	}
	call, refusal := s.newServiceCall(w, r, contract, pool, "/"+rest)
	if refusal != nil {
		WriteRefusal(w, refusal)
		return
	}
	sink := &serviceSink{w: w}
	s.Forward.Run(r.Context(), call, sink)
	if body, isStreamed := call.Body.(*serviceBody); isStreamed {
		body.close()
	}
	if sink.truncated {
		// Closing the connection is the only way to signal that the body is truncated.
		panic(http.ErrAbortHandler)
	}
}

// newServiceCall returns the call to forward. The body of a non-idempotent call is buffered, that of
// any other call is streamed.
func (s *Server) newServiceCall(w http.ResponseWriter, r *http.Request, contract configuration.Contract,
	pool configuration.Pool, path string) (forward.Call, *fleet.Refusal) {
	id := requestID(r)
	call := forward.Call{
		Request: fleet.Request{
			ID: id, Team: contract.Team, Pool: pool.Name, Chat: fleet.ChatID(id), Decode: 1,
			Priority: contract.Priority, Deadline: time.Now().Add(contract.FirstTokenTimeout()),
		},
		Pool: pool, Method: r.Method, Path: path, Header: forwardHeader(r.Header),
		ContentLength: r.ContentLength, Silence: contract.SilenceTimeout(),
	}
	if r.URL.RawQuery != "" {
		call.Path += "?" + r.URL.RawQuery
	}
	if !pool.IsNonIdempotent(r.Method, path) {
		if body := newServiceBody(w, r); body != nil {
			call.Body = body
		}
		return call, nil
	}
	key, refusal := parseIdempotencyKey(r)
	if refusal != nil {
		return call, refusal
	}
	body, refusal := readBody(w, r)
	call.IdempotencyKey, call.BufferedBody, call.ContentLength = key, body, int64(len(body))
	return call, refusal
}

// parseIdempotencyKey returns the key of a non-idempotent call in its canonical form.
func parseIdempotencyKey(r *http.Request) (string, *fleet.Refusal) {
	header := r.Header.Get(HeaderIdempotencyKey)
	if header == "" {
		return "", fleet.Refuse(fleet.CodeKeyMissing, "this call may not be repeated and needs an "+HeaderIdempotencyKey, 0)
	}
	// The draft writes the key as a structured-field string, in quotes.
	key, err := uuid.Parse(strings.Trim(header, `"`))
	if err != nil || key.Version() != 7 {
		return "", fleet.Refuse(fleet.CodeBadRequest, HeaderIdempotencyKey+" is not a UUIDv7", 0)
	}
	return key.String(), nil
}

// forwardHeader returns the headers that are forwarded to the upstream.
func forwardHeader(from http.Header) http.Header {
	header := from.Clone()
	removeHopByHop(header)
	// The caller's key is a secret shared with the router only.
	header.Del("Authorization")
	if header.Get("User-Agent") == "" {
		// Prevents net/http from sending its default User-Agent.
		header.Set("User-Agent", "")
	}
	return header
}

// removeHopByHop removes the headers in hopByHop and those that the Connection header lists.
func removeHopByHop(header http.Header) {
	for _, line := range header.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}

// serviceSink writes the answer to a call of a plain service to the caller.
type serviceSink struct {
	w http.ResponseWriter
	// truncated is true when the answer has begun and cannot be completed.
	truncated bool
}

// Answer implements forward.Sink.
func (s *serviceSink) Answer(status int, header http.Header, body io.Reader) error {
	header = header.Clone()
	removeHopByHop(header)
	for name, values := range header {
		s.w.Header()[name] = values
	}
	s.w.WriteHeader(status)
	controller := http.NewResponseController(s.w)
	buffer := make([]byte, 32<<10)
	for {
		n, err := body.Read(buffer)
		controller.SetWriteDeadline(time.Now().Add(WriteTimeout))
		if n > 0 {
			if _, err := s.w.Write(buffer[:n]); err != nil {
				s.truncated = true
				return err
			}
			controller.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			s.truncated = true
			return err
		}
	}
}

// Refuse implements forward.Sink.
func (s *serviceSink) Refuse(refusal *fleet.Refusal) {
	WriteRefusal(s.w, refusal)
}
