package operatorclient

import (
	"context"

	"agateswitch/node/ratelimit"
)

// RateLimits returns the rate limits that upstreams state, as one gateway knows them.
func (c *Client) RateLimits(ctx context.Context) ([]ratelimit.Limit, error) {
	var limits []ratelimit.Limit
	err := c.Do(ctx, c.base.New().Get(ratelimit.Path), &limits)
	return limits, err
}
