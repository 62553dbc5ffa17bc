package operatorclient

import (
	"context"
	"net/url"
	"time"

	"agateswitch/adapter/operatorhttp"
	"agateswitch/core/fleet"
	"agateswitch/core/rollout"
	"agateswitch/node/moves"

	"github.com/juju/errors"
)

// movePollInterval is the delay between two status requests while waiting for a move's end.
const movePollInterval = time.Second

// versionPath returns the path of a pool's version moves.
func versionPath(pool fleet.PoolID) string {
	return operatorhttp.PathVersion + "/" + url.PathEscape(string(pool))
}

// ProposeMove reads the timetable of a move without beginning it.
func (c *Client) ProposeMove(ctx context.Context, pool fleet.PoolID, order operatorhttp.MoveOrder) (moves.Proposal, error) {
	var proposal moves.Proposal
	path := versionPath(pool) + "/move?" + operatorhttp.ParamDryRun + "=true"
	return proposal, c.Do(ctx, c.base.New().Post(path).BodyJSON(order), &proposal)
}

// BeginMove begins a move.
func (c *Client) BeginMove(ctx context.Context, pool fleet.PoolID, order operatorhttp.MoveOrder) (rollout.Move, error) {
	var move rollout.Move
	return move, c.Do(ctx, c.base.New().Post(versionPath(pool)+"/move").BodyJSON(order), &move)
}

// RollBack rolls back the running move of a pool.
func (c *Client) RollBack(ctx context.Context, pool fleet.PoolID, reason string) (rollout.Move, error) {
	var move rollout.Move
	order := operatorhttp.RollbackOrder{Reason: reason}
	return move, c.Do(ctx, c.base.New().Post(versionPath(pool)+"/back").BodyJSON(order), &move)
}

// MoveStatus reads the progress of a pool's last move.
func (c *Client) MoveStatus(ctx context.Context, pool fleet.PoolID) (moves.MoveStatus, error) {
	var status moves.MoveStatus
	return status, c.Do(ctx, c.base.New().Get(versionPath(pool)), &status)
}

// WaitForMove waits until a move has ended. It retries when the router cannot be reached.
func (c *Client) WaitForMove(ctx context.Context, move rollout.Move) (moves.MoveStatus, error) {
	for {
		status, err := c.MoveStatus(ctx, move.Pool)
		// The router may not have the move in force yet right after its beginning.
		isEnded := err == nil && status.Move.ID == move.ID && status.Move.Status != rollout.StatusRunning
		if isEnded {
			return status, nil
		}
		if err == nil && status.Move.Begun.After(move.Begun) {
			return status, errors.Errorf("move %s has taken the place of move %s", status.Move.ID, move.ID)
		}
		select {
		case <-time.After(movePollInterval):
		case <-ctx.Done():
			return status, ctx.Err()
		}
	}
}
