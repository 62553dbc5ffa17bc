package callerhttp

import (
	"net/http"

	"agateswitch/core/fleet"
)

// refusalBeforeClaim adapts the refusal by a router that has no configuration yet. A request with an
// idempotency key may be the resend of a call that ran, and its claim has not been looked up, so
// whether it ran is unknown.
func refusalBeforeClaim(r *http.Request, refusal *fleet.Refusal) *fleet.Refusal {
	if refusal.Code != fleet.CodeStarting || r.Header.Get(HeaderIdempotencyKey) == "" {
		return refusal
	}
	adapted := *refusal
	adapted.Ran = fleet.RanUnknown
	return &adapted
}
