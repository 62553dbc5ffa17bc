package upstreamhttp

import (
	"context"
	"net/http"

	"agateswitch/core/fleet"
	"agateswitch/core/order"
	"agateswitch/port"

	"github.com/dghubble/sling"
	"github.com/juju/errors"
)

// PathOrders is the path of an engine's orders: GET reads its state, POST sends an order.
const PathOrders = "/v1/orders"

// SendOrder implements port.EngineOrders. It uses a new connection that is not reused, so that
// cancelling ctx closes it.
func (c *Client) SendOrder(ctx context.Context, upstream fleet.Upstream, engineOrder order.Order) error {
	request, err := sling.New().Base("http://" + upstream.Address).Post(PathOrders).BodyJSON(engineOrder).Request()
	if err != nil {
		return errors.Trace(err)
	}
	answer, err := c.fresh.Do(request.WithContext(ctx))
	if err != nil {
		return errors.Annotatef(err, "sending an order to %s", upstream.ID)
	}
	defer answer.Body.Close()
	switch {
	case answer.StatusCode == http.StatusConflict:
		return errors.Trace(port.ErrStaleFence)
	case answer.StatusCode >= http.StatusBadRequest:
		return errors.Errorf("%s answered an order with status %d", upstream.ID, answer.StatusCode)
	}
	return nil
}

// State implements port.EngineOrders.
func (c *Client) State(ctx context.Context, upstream fleet.Upstream) (order.State, error) {
	var state order.State
	request, err := sling.New().Base("http://" + upstream.Address).Get(PathOrders).Request()
	if err != nil {
		return state, errors.Trace(err)
	}
	answer, err := sling.New().Client(c.fresh).Do(request.WithContext(ctx), &state, nil)
	if err != nil {
		return state, errors.Annotatef(err, "reading the state of %s", upstream.ID)
	}
	if answer.StatusCode != http.StatusOK {
		return state, errors.Errorf("%s answered with status %d: it takes no orders", upstream.ID, answer.StatusCode)
	}
	return state, nil
}
