package operatorclient

import (
	"context"

	"agateswitch/core/evidence"
)

// evidencePath is the path of a gateway's list of what it believes.
const evidencePath = "/evidence"

// Evidence returns what one gateway believes of versions, prompt parts, requests and rate limits, and what it has that from.
func (c *Client) Evidence(ctx context.Context) ([]evidence.Belief, error) {
	var beliefs []evidence.Belief
	err := c.Do(ctx, c.base.New().Get(evidencePath), &beliefs)
	return beliefs, err
}
