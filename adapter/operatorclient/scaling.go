package operatorclient

import (
	"context"

	"agateswitch/node/scaling"
)

// ScalingPlans returns what a gateway would order as the number of engines of each pool and data centre, and why.
func (c *Client) ScalingPlans(ctx context.Context) ([]scaling.Plan, error) {
	var plans []scaling.Plan
	err := c.Do(ctx, c.base.New().Get(scaling.Path), &plans)
	return plans, err
}
