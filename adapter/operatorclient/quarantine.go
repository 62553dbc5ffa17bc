package operatorclient

import (
	"context"
	"net/url"

	"agateswitch/core/quarantine"
	node "agateswitch/node/quarantine"
)

// Quarantine returns the parts of prompts that a fleet of gateways holds back, oldest first.
func (c *Client) Quarantine(ctx context.Context) ([]node.Listed, error) {
	var holds []node.Listed
	err := c.Do(ctx, c.base.New().Get(node.Path), &holds)
	return holds, err
}

// ReleasePart makes a fleet of gateways send requests with a part of prompts again.
func (c *Client) ReleasePart(ctx context.Context, part quarantine.Part) error {
	return c.Do(ctx, c.base.New().Delete(node.Path+"/"+url.PathEscape(string(part))), nil)
}
