package port

import (
	"context"

	"agateswitch/core/fleet"

	"github.com/juju/errors"
)

// ErrPeerUnreachable means that no answer came from a peer. The call may have been handled.
const ErrPeerUnreachable = errors.ConstError("peer unreachable")

// Decode reads a request of the peer protocol into a value.
type Decode func(into any) error

// PeerHandler answers one method of the peer protocol. The returned value is sent back.
type PeerHandler func(ctx context.Context, from fleet.HostID, decode Decode) (any, error)

// Peers reaches other routers.
type Peers interface {
	// Call sends a request to a router and reads its response. A call to the own host is
	// handled in place.
	Call(ctx context.Context, to fleet.HostID, method string, request, response any) error
	// Handle registers the handler of a method. All methods are registered before serving.
	Handle(method string, handler PeerHandler)
}
