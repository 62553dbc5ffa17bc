package callerhttp

import (
	"net/http"

	"agateswitch/core/fleet"
)

// beforeClaim adapts the refusal of a router that has no configuration yet. A request with
// an idempotency key may be the resend of a call that ran, which nobody has looked up.
func beforeClaim(r *http.Request, refusal *fleet.Refusal) *fleet.Refusal {
	if refusal.Code != fleet.CodeStarting || r.Header.Get(HeaderIdempotencyKey) == "" {
		return refusal
	}
	adapted := *refusal
	adapted.Ran = fleet.RanUnknown
	return &adapted
}
