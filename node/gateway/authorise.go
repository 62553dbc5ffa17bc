package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"agateswitch/core/fleet"

	"github.com/juju/errors"
)

// prepare finds the route, the team and the pool, and reads the body.
func (x *exchange) prepare() *fleet.Refusal {
	if !x.gateway.awaitState(x.request.Context()) {
		return fleet.Refuse(fleet.CodeStarting, "no desired state is known yet", jitter(startingRetry))
	}
	x.current = x.gateway.view.current.Load()
	if headerBytes(x.request) > x.current.table.State.Limits.HeaderBytes {
		return fleet.Refuse(fleet.CodeHeaderTooLarge, "the header is too large", 0)
	}
	if x.call.ID == "" {
		return fleet.Refuse(fleet.CodeBadRequest, "the request has no id", 0)
	}
	refusal := x.authorise()
	if refusal != nil && (refusal.Code == fleet.CodeNotFound || refusal.Code == fleet.CodeUnauthorized) {
		refusal = x.authoriseByNewest(refusal)
	}
	if refusal != nil {
		return refusal
	}
	x.setDeadline()
	if refusal := x.readBody(); refusal != nil {
		return refusal
	}
	// The body may have taken long, and the desired state may have changed.
	x.current = x.gateway.view.current.Load()
	if refusal := x.authorise(); refusal != nil {
		return refusal
	}
	return x.findPool()
}

// awaitState returns once a desired state is in force, and false if it takes too long.
func (g *Gateway) awaitState(ctx context.Context) bool {
	if g.view.current.Load() != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, startingWait)
	defer cancel()
	select {
	case <-g.Ready():
		return true
	case <-ctx.Done():
		return false
	}
}

// headerBytes is the size of a request's header as it was sent, but for its spacing.
func headerBytes(request *http.Request) int {
	size := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// authorise finds the route and the team in the state at hand.
func (x *exchange) authorise() *fleet.Refusal {
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	route, found := x.current.table.Match(x.request.Host, path)
	if !found {
		return fleet.Refuse(fleet.CodeNotFound, "no route has this host and path", 0)
	}
	x.route = route
	x.team = nil
	if !x.current.table.NeedsKey(route) {
		return nil
	}
	if x.team, found = x.current.table.Team(x.call.Key); !found {
		return fleet.Refuse(fleet.CodeUnauthorized, "no team has this key", 0)
	}
	return nil
}

// authoriseByNewest makes sure that no newer state allows what the one at hand does not.
func (x *exchange) authoriseByNewest(refusal *fleet.Refusal) *fleet.Refusal {
	if err := x.gateway.Newest.Confirm(x.request.Context()); err != nil {
		return fleet.Refuse(fleet.CodeStoreDown, "the newest desired state is not known: "+refusal.Message, jitter(startingRetry))
	}
	x.current = x.gateway.view.current.Load()
	return x.authorise()
}

func (x *exchange) readBody() *fleet.Refusal {
	if x.request.ContentLength == 0 {
		return nil
	}
	connection := http.NewResponseController(x.writer)
	if err := connection.SetReadDeadline(x.deadline); err != nil {
		return fleet.Refuse(fleet.CodeInternal, "the time for the body could not be set: "+err.Error(), 0)
	}
	limit := x.current.table.State.Limits.BodyBytes
	body, err := io.ReadAll(http.MaxBytesReader(x.writer, x.request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fleet.Refuse(fleet.CodeTooLarge, "the body is too large", 0)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fleet.Refuse(fleet.CodeDeadline, "the body did not come in time", 0)
	}
	if err != nil {
		return fleet.Refuse(fleet.CodeBadRequest, "the body could not be read: "+err.Error(), 0)
	}
	x.body = body
	if err := connection.SetReadDeadline(time.Time{}); err != nil {
		return fleet.Refuse(fleet.CodeInternal, "the time for the body could not be ended: "+err.Error(), 0)
	}
	return nil
}

// setDeadline finds when the request must have its final answer.
func (x *exchange) setDeadline() {
	limit := x.route.Timeout
	if x.call.Timeout > 0 && x.call.Timeout < limit {
		limit = x.call.Timeout
	}
	x.deadline = x.began.Add(limit)
}

// findPool picks the pool.
func (x *exchange) findPool() *fleet.Refusal {
	x.setDeadline()
	id, found := x.route.Pick(rand.Float64())
	if !found {
		return fleet.Refuse(fleet.CodeNoUpstream, "the route has no pool", jitter(busyRetry))
	}
	if x.pool, found = x.current.table.Pool(id); !found {
		return fleet.Refuse(fleet.CodeNoUpstream, "the route's pool is not declared", jitter(busyRetry))
	}
	x.gateway.countRequest(id, time.Now())
	return nil
}
