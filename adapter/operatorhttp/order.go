package operatorhttp

import (
	"context"
	"net/http"

	"agateswitch/core/fleet"
	"agateswitch/core/order"
	"agateswitch/node/orders"
)

// PathOrder is the path of orders to engines; the pool's and the upstream's names follow.
const PathOrder = "/operator/v1/order"

// Orders sends orders to engines.
type Orders interface {
	Give(ctx context.Context, pool fleet.PoolID, upstream fleet.UpstreamID, wanted order.Order) (orders.Result, *fleet.Refusal)
}

// OrderRoutes returns the route for orders. It requires the operator token.
func (s *Server) OrderRoutes(service Orders) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathOrder+"/{pool}/{upstream}", func(w http.ResponseWriter, r *http.Request) {
		var wanted order.Order
		if !readOrder(w, r, &wanted) {
			return
		}
		result, refusal := service.Give(r.Context(), fleet.PoolID(r.PathValue("pool")), fleet.UpstreamID(r.PathValue("upstream")), wanted)
		respond(w, result, refusal)
	})
	return s.authenticated(mux)
}
