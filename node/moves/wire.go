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

// reportRequest carries evidence one level up the tree. Sequence grows with each report of
// one life of the sender, so that a report that is delivered twice counts once.
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

// rollbacksMessage is both request and response of methodRollbacks: the rollbacks that still matter.
type rollbacksMessage struct {
	Rollbacks []rollout.Rollback `msgpack:"b"`
	// Synced is true when the sender has heard the rollbacks of others since its start.
	Synced bool `msgpack:"s"`
}

type rateRequest struct {
	Pool fleet.PoolID `msgpack:"p"`
}

type rateResponse struct {
	// PerSecond is the rate of requests of the pool that ended on this router.
	PerSecond float64 `msgpack:"r"`
}
