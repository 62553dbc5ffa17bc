package pipenet

import (
	"strings"
	"time"
)

// Effect is what a cut does to connections.
type Effect int

// Effects of cuts.
const (
	// Silent makes new connections hang, and open ones discard all data. The near end of an open one fails after
	// silentTimeout.
	Silent Effect = iota
	// Reset refuses new connections and closes open ones.
	Reset
	// RefuseNew refuses new connections. Open ones live on.
	RefuseNew
)

// silentTimeout is the time after which the host's network stack gives a silent connection up.
const silentTimeout = 2 * time.Second

// silentDialTimeout is the time after which a dial over a silent path fails, as a dialer's own timeout does.
const silentDialTimeout = 1200 * time.Millisecond

// cut is a lost path from a host to the addresses with a prefix.
type cut struct {
	from, prefix string
	effect       Effect
}

// Cut cuts a host off from the addresses with a prefix, until Heal.
func (n *Network) Cut(from, prefix string, effect Effect) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = append(n.cuts, cut{from: from, prefix: prefix, effect: effect})
	if effect == RefuseNew {
		return
	}
	for _, open := range n.open {
		if open.from != from || !strings.HasPrefix(open.to, prefix) {
			continue
		}
		if effect == Reset {
			open.Conn.Close()
			continue
		}
		open.blackhole()
		time.AfterFunc(silentTimeout, open.timeOut)
	}
}

// Heal ends all cuts of a host.
func (n *Network) Heal(from string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var others []cut
	for _, c := range n.cuts {
		if c.from != from {
			others = append(others, c)
		}
	}
	n.cuts = others
}

// cutOf returns the effect of a host's cut from an address, if there is one. The caller holds mu.
func (n *Network) cutOf(from, address string) (Effect, bool) {
	for _, c := range n.cuts {
		if c.from == from && strings.HasPrefix(address, c.prefix) {
			return c.effect, true
		}
	}
	return 0, false
}

// timeOut makes an end of a silent connection fail as the network stack does that gives it up.
func (c *connection) timeOut() {
	// A pipe returns a timeout once its deadline has passed, which is never an error.
	_ = c.Conn.SetDeadline(pastDeadline)
}
