package port

import (
	"context"

	"agateswitch/core/fleet"
	"agateswitch/core/order"

	"github.com/juju/errors"
)

// ErrOldFence means that an engine refused an order with an old fencing number.
const ErrOldFence = errors.ConstError("engine refused an old fencing number")

// EngineOrders gives orders to engines.
type EngineOrders interface {
	// Give sends an order. After an error other than ErrOldFence it may have taken effect.
	Give(ctx context.Context, upstream fleet.Upstream, order order.Order) error
	// State reads what an engine has loaded, and its role.
	State(ctx context.Context, upstream fleet.Upstream) (order.State, error)
}
