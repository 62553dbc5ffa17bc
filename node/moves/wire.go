package moves

import (
	"agateswitch/core/fleet"
	"agateswitch/core/rollout"
)

// Methods of the peer protocol.
const (
	methodReport = "moves.report"
	methodBrakes = "moves.brakes"
	methodRate   = "moves.rate"
	methodStatus = "moves.status"
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

// reportResponse carries the brake of the move, if there is one.
type reportResponse struct {
	Brake *rollout.Brake `msgpack:"b,omitempty"`
}

// brakesMessage is both request and response of methodBrakes: the brakes that still matter.
type brakesMessage struct {
	Brakes []rollout.Brake `msgpack:"b"`
	// Synced is true when the sender has heard the brakes of others since its start.
	Synced bool `msgpack:"s"`
}

type rateRequest struct {
	Pool fleet.PoolID `msgpack:"p"`
}

type rateResponse struct {
	// PerSecond is the rate of requests of the pool that ended on this router.
	PerSecond float64 `msgpack:"r"`
}
