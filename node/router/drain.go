package router

import (
	"context"
	"time"
)

// drain removes the router from the list of entry hosts, serves for as long as callers may cache
// that list, and finishes the running requests. It returns early when forced ends.
func (r *Router) drain(forced context.Context) {
	r.members.Leave()
	r.callerAPI.Leave()
	r.log.Info("leaving the fleet; finishing running requests", "serving_for", time.Duration(r.settings.Drain), "running", len(r.callerAPI.Running()))
	select {
	case <-time.After(time.Duration(r.settings.Drain)):
		r.finishRequests(forced)
	case <-forced.Done():
		r.logForcedStop()
	}
}

// finishRequests accepts no new connections. It waits for running requests, for the cancellation
// of requests whose callers have disconnected, and for answers that are still being recorded.
func (r *Router) finishRequests(forced context.Context) {
	if err := r.callerServer.Shutdown(forced); err != nil {
		r.logForcedStop()
		return
	}
	r.chat.Wait()
	r.claims.Wait(forced)
	r.log.Info("left the fleet; all requests have finished")
}

// logForcedStop logs the requests that a forced stop aborts.
func (r *Router) logForcedStop() {
	running := r.callerAPI.Running()
	if len(running) == 0 {
		r.log.Info("forced stop before the end of the drain; no request was running")
		return
	}
	r.log.Warn("forced stop before the end of the drain; running requests are aborted", "count", len(running), "requests", running)
}
