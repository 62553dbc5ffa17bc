package port

import (
	"context"

	"agateswitch/core/fleet"
	"agateswitch/core/order"

	"github.com/juju/errors"
)

// ErrStaleFence is returned when an engine refused an order with a stale fencing number.
const ErrStaleFence = errors.ConstError("engine refused an order with a stale fencing number")

// EngineOrders sends orders to engines.
type EngineOrders interface {
	// SendOrder sends an order. After an error other than ErrStaleFence the order may have taken
	// effect.
	SendOrder(ctx context.Context, upstream fleet.Upstream, order order.Order) error
	// State reads which model, adapters and version an engine has loaded, and its role.
	State(ctx context.Context, upstream fleet.Upstream) (order.State, error)
}
