package port

import (
	"context"

	"agateswitch/core/fleet"

	"github.com/juju/errors"
)

// ErrPeerUnreachable is returned when a peer did not answer. It may have handled the call.
const ErrPeerUnreachable = errors.ConstError("peer unreachable")

// ErrUnknownMethod is returned when a peer does not know the method, as one of an earlier version.
const ErrUnknownMethod = errors.ConstError("unknown method")

// Decode decodes a request of the peer protocol into a value.
type Decode func(into any) error

// PeerHandler handles one method of the peer protocol. The returned value is the response.
type PeerHandler func(ctx context.Context, from fleet.HostID, decode Decode) (any, error)

// Peers exchanges messages with other routers.
type Peers interface {
	// Call sends a request to a router and decodes its response. A call to the router's own host
	// is handled locally.
	Call(ctx context.Context, to fleet.HostID, method string, request, response any) error
	// Handle registers the handler of a method. All methods must be registered before serving.
	Handle(method string, handler PeerHandler)
}
