package operatorclient

import (
	"context"

	"agateswitch/node/duty"
)

// Duties returns the singleton duties, as one gateway knows them.
func (c *Client) Duties(ctx context.Context) ([]duty.Status, error) {
	var duties []duty.Status
	err := c.Do(ctx, c.base.New().Get(duty.Path), &duties)
	return duties, err
}
