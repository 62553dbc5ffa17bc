package operatorclient

import (
	"context"
	"net/url"

	"agateswitch/adapter/operatorhttp"
	"agateswitch/core/fleet"
	"agateswitch/core/order"
	"agateswitch/node/orders"
)

// Order sends an order to an engine and returns when the engine has carried it out.
func (c *Client) Order(ctx context.Context, pool fleet.PoolID, upstream fleet.UpstreamID, wanted order.Order) (orders.Result, error) {
	var result orders.Result
	path := operatorhttp.PathOrder + "/" + url.PathEscape(string(pool)) + "/" + url.PathEscape(string(upstream))
	return result, c.Do(ctx, c.base.New().Post(path).BodyJSON(wanted), &result)
}
