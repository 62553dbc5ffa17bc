package claims

import "agateswitch/core/fleet"

// Methods of the peer protocol.
const (
	// methodBegin takes a fleet.Claim and answers a fleet.ClaimResult.
	methodBegin = "claims.begin"
	// methodFinish takes a finishRequest and answers a finishResponse.
	methodFinish = "claims.finish"
	// methodForeign takes a foreignNotice and answers it.
	methodForeign = "claims.foreign"
)

// finishRequest records the end of a call.
type finishRequest struct {
	Claim  fleet.Claim
	Answer fleet.ClaimAnswer
}

// finishResponse tells whether the end is durable.
type finishResponse struct {
	Recorded bool
}

// foreignNotice tells a router that another one took claims of a shard for which it ranks
// first.
type foreignNotice struct {
	Shard int
}
