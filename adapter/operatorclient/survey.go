package operatorclient

import (
	"context"

	"agateswitch/core/fleethealth"
	"agateswitch/node/survey"
)

// Survey returns the state of a fleet of gateways, as the router finds it that serves metrics at the client's
// address.
func (c *Client) Survey(ctx context.Context) (fleethealth.Summary, error) {
	var summary fleethealth.Summary
	err := c.Do(ctx, c.base.New().Get(survey.Path), &summary)
	return summary, err
}
