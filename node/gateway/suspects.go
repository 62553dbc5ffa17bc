package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/quarantine"
	node "agateswitch/node/quarantine"
)

// suspectRetryAfter is the mean retry delay for callers whose request shares a suspect part with one that is in work.
const suspectRetryAfter = time.Second

// doubtRetryAfter is the mean retry delay for callers whose request has a part that is held back, but will be tried once
// engines have stopped to end.
const doubtRetryAfter = 3 * time.Second

// trialSpread is the part of the time to the next trial, as a divisor, over which callers come back after it.
const trialSpread = 10

// provenEvents is how many events of a stream show that the upstream survives the request. An engine may end as it
// writes the first one.
const provenEvents = 2

// A request whose engine has ended waits up to repeatPatience while another one with a suspect part is in work, and
// asks each repeatInterval.
const (
	repeatPatience = 250 * time.Millisecond
	repeatInterval = 25 * time.Millisecond
)

// quarantineParts returns the shared parts of the prompt.
func (c *callerRequest) quarantineParts() []quarantine.Part {
	shared := c.sharedParts()
	parts := make([]quarantine.Part, 0, len(shared))
	for _, part := range shared {
		parts = append(parts, quarantine.Part(part.ID))
	}
	return parts
}

// wholeRequest returns the id of the request as a whole.
func (c *callerRequest) wholeRequest() quarantine.Part {
	if c.whole == "" {
		c.whole = quarantine.WholeRequest(c.gateway.QuarantineKey, quarantine.Request{
			Method: c.request.Method, Host: c.request.Host, Target: c.request.RequestURI, Caller: c.teamName(), Body: c.body,
		})
	}
	return c.whole
}

// suspectParts returns what may be guilty of an engine's end: the shared parts of the prompt, and the whole request if
// any request is suspected. No digest is made otherwise.
func (c *callerRequest) suspectParts() []quarantine.Part {
	if c.whole == "" && !c.gateway.Quarantine.SuspectsRequests() {
		return c.parts
	}
	return append(slices.Clip(c.parts), c.wholeRequest())
}

// permit asks for the permission to send the request. It returns a refusal if one of the parts is held back, or is a
// suspect that another request works on.
func (c *callerRequest) permit(ctx context.Context) (*node.Permit, *fleet.Refusal) {
	permit := c.gateway.Quarantine.Admit(ctx, c.suspectParts(), c.engineEnded, c.deadline)
	for waited := time.Duration(0); c.engineEnded && permit.Denied != "" && !permit.Held && waited < repeatPatience; waited += repeatInterval {
		if !pause(ctx, repeatInterval) {
			break
		}
		permit = c.gateway.Quarantine.Admit(ctx, c.suspectParts(), true, c.deadline)
	}
	switch {
	case permit.Denied == "":
		return permit, nil
	case permit.Held:
		c.gateway.Instruments.recordQuarantined(c.route.Name)
		why := fmt.Sprintf("%s is held back: %d engines ended that worked on it", describeSuspect(permit.Denied), permit.Ends)
		if permit.InDoubt {
			return nil, fleet.Refuse(fleet.CodeQuarantined, why+", which may be chance", doubtRetryAfter/2+rand.N(doubtRetryAfter))
		}
		// Callers that come back together would all but one be refused again.
		return nil, fleet.Refuse(fleet.CodeQuarantined, why, permit.NextTrial+rand.N(permit.NextTrial/trialSpread+time.Second))
	}
	retryAfter := suspectRetryAfter/2 + rand.N(suspectRetryAfter)
	return nil, fleet.Refuse(fleet.CodeNoUpstream, fmt.Sprintf("%s is suspected after the ends of %d engines and in work", describeSuspect(permit.Denied), permit.Ends), retryAfter)
}

// describeSuspect names a suspect for a refusal.
func describeSuspect(part quarantine.Part) string {
	if part.IsWholeRequest() {
		return fmt.Sprintf("the request (%s)", part)
	}
	return fmt.Sprintf("part %q of the prompt", part)
}

// isDoubtful reports whether an upstream has ended or was not reached lately. That it ends says little of a request that is the only
// one of its kind there.
func (g *Gateway) isDoubtful(e *engine, status engineStatus) bool {
	return status.isRecovering || g.Quarantine.HasEnded(quarantine.Engine{ID: e.id, Incarnation: e.incarnation})
}

// engineOf returns the incarnation of the upstream that was chosen.
func engineOf(chosen *choice) quarantine.Engine {
	return quarantine.Engine{ID: chosen.engine.id, Incarnation: chosen.engine.incarnation}
}

// recordSent records that the request is sent to the upstream.
func (c *callerRequest) recordSent(chosen *choice) {
	c.gateway.Quarantine.Sent(chosen.permit, c.pool.ID, chosen.load.Running+1, c.suspectParts())
}

// recordEnd records that a connection ended on which the upstream worked on the request and had hardly begun to answer.
func (c *callerRequest) recordEnd(chosen *choice, manner quarantine.Manner) {
	if chosen.via != "" || c.request.Context().Err() != nil {
		return
	}
	c.engineEnded = true
	c.wholeRequest()
	chosen.permit.Manner = manner
	c.gateway.Quarantine.Ended(engineOf(chosen), c.suspectParts(), chosen.permit, quarantine.Origin{Route: c.route.Name, Team: c.teamName()})
}

// recordAnswer records that the upstream has begun to answer the request.
func (c *callerRequest) recordAnswer(chosen *choice) {
	if chosen.via != "" {
		return
	}
	c.gateway.Quarantine.Answered(engineOf(chosen), c.suspectParts(), chosen.sentAt)
}
