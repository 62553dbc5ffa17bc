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

// versionPoll is the time between two questions while waiting for a move's end.
const versionPoll = time.Second

func versionPath(pool fleet.PoolID) string {
	return operatorhttp.PathVersion + "/" + url.PathEscape(string(pool))
}

// ProposeMove asks for the timetable of a move without beginning it.
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

// TakeBack takes the running move of a pool back.
func (c *Client) TakeBack(ctx context.Context, pool fleet.PoolID, reason string) (rollout.Move, error) {
	var move rollout.Move
	order := operatorhttp.BackOrder{Reason: reason}
	return move, c.Do(ctx, c.base.New().Post(versionPath(pool)+"/back").BodyJSON(order), &move)
}

// MoveStatus reads how far the last move of a pool is.
func (c *Client) MoveStatus(ctx context.Context, pool fleet.PoolID) (moves.MoveStatus, error) {
	var status moves.MoveStatus
	return status, c.Do(ctx, c.base.New().Get(versionPath(pool)), &status)
}

// WaitForMove waits until a move has ended. A router that cannot be reached is asked again.
func (c *Client) WaitForMove(ctx context.Context, move rollout.Move) (moves.MoveStatus, error) {
	for {
		status, err := c.MoveStatus(ctx, move.Pool)
		// Right after the beginning the router may not have the move in force yet.
		isEnded := err == nil && status.Move.ID == move.ID && status.Move.Status != rollout.StatusRunning
		if isEnded {
			return status, nil
		}
		if err == nil && status.Move.Begun.After(move.Begun) {
			return status, errors.Errorf("move %s has taken the place of move %s", status.Move.ID, move.ID)
		}
		select {
		case <-time.After(versionPoll):
		case <-ctx.Done():
			return status, ctx.Err()
		}
	}
}
