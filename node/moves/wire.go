package moves

import (
	"agateswitch/core/fleet"
	"agateswitch/core/rollout"
)

// Methods of the peer protocol.
const (
	methodReport    = "moves.report"
	methodRollbacks = "moves.rollbacks"
	methodRate      = "moves.rate"
	methodStatus    = "moves.status"
)

// reportRequest carries evidence one level up the tree. Sequence increases with each report of one
// process of the sender, which Epoch identifies, so that a report delivered twice counts once.
type reportRequest struct {
	Pool     fleet.PoolID   `msgpack:"p"`
	Move     rollout.MoveID `msgpack:"m"`
	Epoch    int64          `msgpack:"e"`
	Sequence uint64         `msgpack:"s"`
	Pairs    []rollout.Pair `msgpack:"d"`
}

// reportResponse carries the rollback of the move, if there is one.
type reportResponse struct {
	Rollback *rollout.Rollback `msgpack:"b,omitempty"`
}

// rollbacksMessage is both the request and the response of methodRollbacks.
type rollbacksMessage struct {
	Rollbacks []rollout.Rollback `msgpack:"b"`
	// Synced is true when the sender has completed its initial sync.
	Synced bool `msgpack:"s"`
}

// rateRequest names the pool of a rate or status request.
type rateRequest struct {
	Pool fleet.PoolID `msgpack:"p"`
}

// rateResponse is the response to methodRate.
type rateResponse struct {
	// PerSecond is the rate of requests of the pool that ended on this router.
	PerSecond float64 `msgpack:"r"`
}
