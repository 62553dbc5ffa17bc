package router

import (
	"context"
	"time"
)

// drain takes the router out of the entry answers, serves for as long as callers may
// keep those, and finishes the running requests. It ends early when forced ends.
func (r *Router) drain(forced context.Context) {
	r.members.Leave()
	r.entry.Leave()
	r.log.Info("leaving", "serving_for", time.Duration(r.settings.Drain), "running", len(r.entry.Running()))
	select {
	case <-time.After(time.Duration(r.settings.Drain)):
		r.finish(forced)
	case <-forced.Done():
		r.logForced()
	}
}

// finish takes no new connection, and waits for the running requests, for the cancels
// that their callers' leaving has set off, and for answers that are still being recorded.
func (r *Router) finish(forced context.Context) {
	if err := r.callers.Shutdown(forced); err != nil {
		r.logForced()
		return
	}
	r.chat.Wait()
	r.claims.Wait(forced)
	r.log.Info("left, nothing was running")
}

// logForced names the requests that a forced stop cuts.
func (r *Router) logForced() {
	running := r.entry.Running()
	if len(running) == 0 {
		r.log.Info("stopped at once, nothing was running")
		return
	}
	r.log.Warn("stopped at once while requests were running", "count", len(running), "requests", running)
}
