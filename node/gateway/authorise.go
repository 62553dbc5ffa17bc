package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/node/intake"

	"github.com/juju/errors"
)

// prepare looks up the route, the team and the pool, and reads the body.
func (c *callerRequest) prepare() *fleet.Refusal {
	if !c.gateway.awaitDesiredState(c.request.Context()) {
		return fleet.Refuse(fleet.CodeStarting, "no desired state is known yet", jitter(stateRetryAfter))
	}
	c.current = c.gateway.view.current.Load()
	if headerBytes(c.request) > c.current.table.State.Limits.HeaderBytes {
		return fleet.Refuse(fleet.CodeHeaderTooLarge, "the header is too large", 0)
	}
	if err := c.intake.Take(c.request.Context(), intake.HeaderCost(c.request.Header)+int64(len(c.prompt))*promptPartCost); err != nil {
		return c.refuseForMemory()
	}
	if c.call.ID == "" {
		return fleet.Refuse(fleet.CodeBadRequest, "the request has no id", 0)
	}
	refusal := c.authorise()
	if refusal != nil && (refusal.Code == fleet.CodeNotFound || refusal.Code == fleet.CodeUnauthorized) {
		refusal = c.authoriseWithNewestState(refusal)
	}
	if refusal != nil {
		return refusal
	}
	if c.team != nil {
		c.intake.Assign(teamOwner + string(c.team.Name))
	}
	c.setDeadline()
	if refusal := c.limitToStop(); refusal != nil {
		return refusal
	}
	if refusal := c.readBody(); refusal != nil {
		return refusal
	}
	// The desired state may have changed while the body was read.
	c.current = c.gateway.view.current.Load()
	if refusal := c.authorise(); refusal != nil {
		return refusal
	}
	return c.findPool()
}

// awaitDesiredState waits until a desired state is in force. It returns false after
// initialStateTimeout.
func (g *Gateway) awaitDesiredState(ctx context.Context) bool {
	if g.view.current.Load() != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, initialStateTimeout)
	defer cancel()
	select {
	case <-g.Ready():
		return true
	case <-ctx.Done():
		return false
	}
}

// headerBytes returns the size of a request's header as sent, apart from optional white space.
func headerBytes(request *http.Request) int {
	size := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(":\r\n")
		}
	}
	return size
}

// authorise looks up the route and the team in the request's current snapshot.
func (c *callerRequest) authorise() *fleet.Refusal {
	path, _, _ := strings.Cut(c.request.RequestURI, "?")
	route, found := c.current.table.Match(c.request.Host, path)
	if !found {
		return fleet.Refuse(fleet.CodeNotFound, "no route has this host and path", 0)
	}
	c.route = route
	c.team = nil
	if !c.current.table.NeedsKey(route) {
		return nil
	}
	if c.team, found = c.current.table.Team(c.call.Key); !found {
		return fleet.Refuse(fleet.CodeUnauthorized, "no team has this key", 0)
	}
	return nil
}

// authoriseWithNewestState authorises a refused request again once the newest desired state is in
// force, because a newer state may allow it.
func (c *callerRequest) authoriseWithNewestState(refusal *fleet.Refusal) *fleet.Refusal {
	if err := c.gateway.Freshness.Confirm(c.request.Context()); err != nil {
		return fleet.Refuse(fleet.CodeStoreDown, "the newest desired state is not known: "+refusal.Message, jitter(stateRetryAfter))
	}
	c.current = c.gateway.view.current.Load()
	return c.authorise()
}

// readBody reads the request's body within the body limit, the deadline and the memory for callers.
func (c *callerRequest) readBody() *fleet.Refusal {
	limit := c.current.table.State.Limits.BodyBytes
	if c.request.ContentLength > limit {
		return fleet.Refuse(fleet.CodeTooLarge, "the body is too large", 0)
	}
	if c.request.ContentLength != 0 {
		connection := http.NewResponseController(c.writer)
		if err := connection.SetReadDeadline(c.deadline); err != nil {
			return fleet.Refuse(fleet.CodeInternal, "the time for the body could not be set: "+err.Error(), 0)
		}
		c.bodyBegun = true
		body, err := c.intake.ReadBody(c.request.Context(), http.MaxBytesReader(c.writer, c.request.Body, limit), c.request.ContentLength)
		if err != nil {
			return c.refuseBody(err)
		}
		c.body = body
		if !c.intake.Keep() {
			return c.refuseForMemory()
		}
		if err := connection.SetReadDeadline(time.Time{}); err != nil {
			return fleet.Refuse(fleet.CodeInternal, "the time for the body could not be ended: "+err.Error(), 0)
		}
	}
	c.bodyRead = true
	if !c.intake.Keep() {
		return c.refuseForMemory()
	}
	return nil
}

// refuseBody returns the refusal of a request whose body could not be read.
func (c *callerRequest) refuseBody(err error) *fleet.Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fleet.Refuse(fleet.CodeTooLarge, "the body is too large", 0)
	case errors.Is(err, intake.ErrNoMemory), errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(c.deadline):
		return c.refuseForMemory()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fleet.Refuse(fleet.CodeDeadline, "the body did not come in time", 0)
	}
	return fleet.Refuse(fleet.CodeBadRequest, "the body could not be read: "+err.Error(), 0)
}

// refuseForMemory returns the refusal of a request that finds no memory, or gives way to another one.
func (c *callerRequest) refuseForMemory() *fleet.Refusal {
	return fleet.Refuse(fleet.CodeOverloaded, "the router holds too much for its callers", jitter(busyRetryAfter))
}

// limitUnreadBody bounds the time for what is left of a body that the request does not need. net/http reads some of it before it
// answers, so that the connection can be used again.
func (c *callerRequest) limitUnreadBody() {
	if c.bodyRead || c.request.ContentLength == 0 {
		return
	}
	limit := time.Now()
	if !c.bodyBegun {
		limit = limit.Add(unreadBodyTimeout)
	}
	if err := http.NewResponseController(c.writer).SetReadDeadline(limit); err != nil {
		c.gateway.Log.Debug("failed to bound the time for the rest of a body", "request", c.call.ID, "err", err)
	}
}

// teamOwner precedes the name of a team as the owner of what its requests hold. No address begins so.
const teamOwner = "team "

// promptPartCost is what a part of a prompt costs beyond its text, in bytes: its places in the request's lists.
const promptPartCost = 128

// unreadBodyTimeout is longer than a body that is on its way takes.
const unreadBodyTimeout = time.Second

// setDeadline sets the time by which the request must have its final answer.
func (c *callerRequest) setDeadline() {
	limit := c.route.Timeout
	if c.call.Timeout > 0 && c.call.Timeout < limit {
		limit = c.call.Timeout
	}
	c.deadline = c.began.Add(limit)
}

// findPool picks one of the route's pools by weight and records the request in its retry budget.
func (c *callerRequest) findPool() *fleet.Refusal {
	c.setDeadline()
	if refusal := c.limitToStop(); refusal != nil {
		return refusal
	}
	id, found := c.route.Pick(rand.Float64())
	if !found {
		return fleet.Refuse(fleet.CodeNoUpstream, "the route has no pool", jitter(busyRetryAfter))
	}
	if c.pool, found = c.current.table.Pool(id); !found {
		return fleet.Refuse(fleet.CodeNoUpstream, "the route's pool is not declared", jitter(busyRetryAfter))
	}
	c.gateway.recordRequest(id, time.Now())
	return nil
}
