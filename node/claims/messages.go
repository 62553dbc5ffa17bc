package claims

import "agateswitch/core/fleet"

// Methods of the peer protocol.
const (
	// methodBegin has a fleet.Claim as its request and a fleet.ClaimResult as its response.
	methodBegin = "claims.begin"
	// methodFinish has a finishRequest as its request and a finishResponse as its response.
	methodFinish = "claims.finish"
	// methodForeign has a foreignNotice as its request and returns it as its response.
	methodForeign = "claims.foreign"
)

// finishRequest requests that the owner records the end of a call.
type finishRequest struct {
	Claim  fleet.Claim
	Answer fleet.ClaimAnswer
}

// finishResponse reports whether the end is durable.
type finishResponse struct {
	Recorded bool
}

// foreignNotice notifies a router that a router of lower rank has accepted claims of the shard.
type foreignNotice struct {
	Shard int
}
