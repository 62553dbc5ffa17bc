package operatorhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rollout"
	"agateswitch/node/moves"
)

// PathVersion is the path of version moves; the pool's name follows.
const PathVersion = "/operator/v1/version"

// Versions proposes, begins and rolls back version moves, and returns their status.
type Versions interface {
	Propose(ctx context.Context, pool fleet.PoolID, to fleet.Version, by time.Time) (moves.Proposal, *fleet.Refusal)
	Begin(ctx context.Context, pool fleet.PoolID, to fleet.Version, by time.Time) (rollout.Move, *fleet.Refusal)
	Back(pool fleet.PoolID, reason string) (rollout.Move, *fleet.Refusal)
	Status(ctx context.Context, pool fleet.PoolID) (moves.MoveStatus, *fleet.Refusal)
}

// MoveOrder is the request to move a pool to a version by a deadline.
type MoveOrder struct {
	Version fleet.Version `json:"version"`
	By      time.Time     `json:"by"`
}

// RollbackOrder is the request to roll back a pool's running move.
type RollbackOrder struct {
	Reason string `json:"reason"`
}

// VersionRoutes returns the routes for version moves. They require the operator token.
func (s *Server) VersionRoutes(versions Versions) http.Handler {
	v := versionServer{versions: versions}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathVersion+"/{pool}", v.status)
	mux.HandleFunc("POST "+PathVersion+"/{pool}/move", v.move)
	mux.HandleFunc("POST "+PathVersion+"/{pool}/back", v.rollBack)
	return s.authenticated(mux)
}

type versionServer struct{ versions Versions }

func (v versionServer) status(w http.ResponseWriter, r *http.Request) {
	status, refusal := v.versions.Status(r.Context(), fleet.PoolID(r.PathValue("pool")))
	respond(w, status, refusal)
}

func (v versionServer) move(w http.ResponseWriter, r *http.Request) {
	var order MoveOrder
	if !readOrder(w, r, &order) {
		return
	}
	pool := fleet.PoolID(r.PathValue("pool"))
	if r.URL.Query().Get(ParamDryRun) == "true" {
		proposal, refusal := v.versions.Propose(r.Context(), pool, order.Version, order.By)
		respond(w, proposal, refusal)
		return
	}
	begun, refusal := v.versions.Begin(r.Context(), pool, order.Version, order.By)
	respond(w, begun, refusal)
}

func (v versionServer) rollBack(w http.ResponseWriter, r *http.Request) {
	var order RollbackOrder
	if !readOrder(w, r, &order) {
		return
	}
	move, refusal := v.versions.Back(fleet.PoolID(r.PathValue("pool")), order.Reason)
	respond(w, move, refusal)
}

// readOrder decodes the order in a request's body. If it is not valid, readOrder answers the request
// and returns false.
func readOrder(w http.ResponseWriter, r *http.Request, order any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(order); err != nil {
		fail(w, http.StatusBadRequest, Failure{Code: fleet.CodeBadRequest, Message: "the order is not valid: " + err.Error()})
		return false
	}
	return true
}

// versionStatuses maps the codes of refused orders to HTTP statuses.
var versionStatuses = map[fleet.Code]int{
	fleet.CodeInvalid:    http.StatusUnprocessableEntity,
	fleet.CodeConflict:   http.StatusConflict,
	fleet.CodeNotFound:   http.StatusNotFound,
	fleet.CodeNoUpstream: http.StatusUnprocessableEntity,
	fleet.CodeStoreDown:  http.StatusServiceUnavailable,
}

// respond answers with a value, or with the refusal if there is one.
func respond(w http.ResponseWriter, value any, refusal *fleet.Refusal) {
	if refusal == nil {
		answer(w, value)
		return
	}
	status := versionStatuses[refusal.Code]
	if status == 0 {
		status = http.StatusInternalServerError
	}
	fail(w, status, Failure{Code: refusal.Code, Message: refusal.Message, RetryAfterSeconds: refusal.RetryAfter.Seconds()})
}
