package peer

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
)

// handshakes holds the connections whose handshake is in progress. It answers a crowd that connects and says nothing: a router, whose
// handshake takes some milliseconds, passes it.
type handshakes struct {
	log *log.Logger

	mu sync.Mutex
	// pending begins with the oldest connection.
	pending []net.Conn
	// failed counts the handshakes that have failed.
	failed int
	// loggedAt is when a failure was logged last, by whether the peer has shown a wrong proof.
	loggedAt map[bool]time.Time
}

// add adds a connection. If there are too many, another one is closed.
func (h *handshakes) add(connection net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.pending) >= maxPendingHandshakes {
		surplus := h.surplus()
		h.pending[surplus].Close()
		h.pending = slices.Delete(h.pending, surplus, surplus+1)
	}
	h.pending = append(h.pending, connection)
}

// surplus returns the index of the oldest connection of the address that has the most. Callers hold mu.
func (h *handshakes) surplus() int {
	counts, oldest, most := map[string]int{}, map[string]int{}, ""
	for i, connection := range h.pending {
		address := hostOf(connection.RemoteAddr())
		if counts[address]++; counts[address] == 1 {
			oldest[address] = i
		}
		if counts[address] > counts[most] {
			most = address
		}
	}
	return oldest[most]
}

// end removes a connection whose handshake has succeeded, or failed with err, and logs failures of each kind at most once
// in refusalLogInterval.
func (h *handshakes) end(connection net.Conn, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.Index(h.pending, connection); i >= 0 {
		h.pending = slices.Delete(h.pending, i, i+1)
	}
	if err == nil {
		return
	}
	h.failed++
	isWrongProof := errors.Is(err, errUnauthenticated)
	if now := time.Now(); now.Sub(h.loggedAt[isWrongProof]) >= refusalLogInterval {
		h.loggedAt[isWrongProof] = now
		h.log.Warn("peer refused: handshake failed", "address", connection.RemoteAddr(), "failed", h.failed, "err", err)
	}
}

// hostOf returns an address without its port.
func hostOf(address net.Addr) string {
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return address.String()
	}
	return host
}
