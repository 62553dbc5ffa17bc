package gateway

import (
	"time"

	"agateswitch/core/fleet"
)

// leavingRetryAfter is the mean retry delay for callers of a router that stops. Other routers can take their requests at once.
const leavingRetryAfter = 100 * time.Millisecond

// stopTimes are the times of a planned stop.
type stopTimes struct {
	// lateFrom is when requests are late that may take longer than until endsAt. They are refused.
	lateFrom time.Time
	// endsAt is when work on requests ends, so that their callers still get an answer.
	endsAt time.Time
}

// Leave begins a planned stop: each answer from now on closes its connection, so that callers go to other routers. From lateFrom on,
// requests that may take longer than until endsAt are refused; at endsAt, those that are left are answered as failed.
func (g *Gateway) Leave(lateFrom, endsAt time.Time) {
	g.stopping.Store(&stopTimes{lateFrom: lateFrom, endsAt: endsAt})
	time.AfterFunc(time.Until(endsAt), g.endWork)
}

// isLeaving reports whether a planned stop has begun.
func (g *Gateway) isLeaving() bool { return g.stopping.Load() != nil }

// hasEndedWork reports whether the router works on no request any longer.
func (g *Gateway) hasEndedWork() bool { return g.working.Err() != nil }

// limitToStop moves the request's deadline to the end of the router's work. It returns a refusal if the request has come too late for
// the time that it may take.
func (c *callerRequest) limitToStop() *fleet.Refusal {
	stop := c.gateway.stopping.Load()
	if stop == nil || c.deadline.Before(stop.endsAt) {
		return nil
	}
	if c.began.After(stop.lateFrom) {
		return fleet.Refuse(fleet.CodeLeaving, "the router stops before the request's time is over", jitter(leavingRetryAfter))
	}
	c.deadline = stop.endsAt
	return nil
}

// failEnded ends a request when its time is over, or that of a router that stops.
func (c *callerRequest) failEnded() {
	if c.ran == fleet.NotRun && !c.stream.begun && c.failureAnswer == nil && c.gateway.hasEndedWork() {
		c.refuse(fleet.Refuse(fleet.CodeLeaving, "the router stops", jitter(leavingRetryAfter)))
		return
	}
	c.failRequest(fleet.CodeDeadline, "no answer in time")
}
