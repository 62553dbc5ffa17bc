package presence

import (
	"context"
	"encoding/json"

	"agateswitch/port"
)

// renewRegistration renews the lease of the router's entry, or registers the router if it has no
// lease. It removes the entry once the router leaves.
func (p *Presence) renewRegistration(ctx context.Context) {
	if p.leaving.Load() {
		p.withdraw(ctx)
		return
	}
	if !p.lease.IsNone() {
		remaining, err := p.store.KeepAlive(ctx, p.lease)
		if err != nil {
			p.log.Warn("failed to renew the router lease", "lease", p.lease, "err", err)
			return
		}
		if remaining > 0 {
			return
		}
		p.log.Info("router lease expired; registering again", "lease", p.lease)
	}
	p.register(ctx)
}

// register writes the router's entry under a new lease.
func (p *Presence) register(ctx context.Context) {
	lease, err := p.store.GrantLease(ctx, leaseTTL)
	if err != nil {
		p.log.Warn("failed to acquire a router lease", "err", err)
		return
	}
	value, err := json.Marshal(p.self)
	if err != nil {
		panic("encode router entry: " + err.Error())
	}
	write := port.Write{Key: RouterKeyPrefix + string(p.self.ID), Value: value, Lease: lease}
	if _, err := p.store.Commit(ctx, port.Transaction{Writes: []port.Write{write}}); err != nil {
		p.log.Warn("failed to write the router entry", "lease", lease, "err", err)
		return
	}
	p.lease = lease
	p.log.Info("router registered", "lease", lease)
}

// withdraw revokes the lease, which removes the router's entry.
func (p *Presence) withdraw(ctx context.Context) {
	if p.lease.IsNone() {
		return
	}
	if err := p.store.RevokeLease(ctx, p.lease); err != nil {
		p.log.Warn("failed to revoke the router lease", "lease", p.lease, "err", err)
		return
	}
	p.log.Info("router withdrawn", "lease", p.lease)
	p.lease = port.LeaseID{}
}
