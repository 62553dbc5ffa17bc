package presence

import (
	"context"
	"encoding/json"

	"agateswitch/port"
)

// renew keeps the entry in the store, or removes it once the router leaves.
func (p *Presence) renew(ctx context.Context) {
	if p.leaving.Load() {
		p.withdraw(ctx)
		return
	}
	if p.lease != 0 {
		left, err := p.store.KeepAlive(ctx, p.lease)
		if err != nil {
			p.log.Warn("lease not renewed", "lease", p.lease, "err", err)
			return
		}
		if left > 0 {
			return
		}
		p.log.Info("lease lapsed", "lease", p.lease)
	}
	p.register(ctx)
}

func (p *Presence) register(ctx context.Context) {
	lease, err := p.store.GrantLease(ctx, leaseTime)
	if err != nil {
		p.log.Warn("no lease", "err", err)
		return
	}
	value, err := json.Marshal(p.self)
	if err != nil {
		panic("a host that can't be encoded: " + err.Error())
	}
	write := port.Write{Key: prefix + string(p.self.ID), Value: value, Lease: lease}
	if _, err := p.store.Commit(ctx, port.Transaction{Writes: []port.Write{write}}); err != nil {
		p.log.Warn("router not registered", "lease", lease, "err", err)
		return
	}
	p.lease = lease
	p.log.Info("router registered", "lease", lease)
}

func (p *Presence) withdraw(ctx context.Context) {
	if p.lease == 0 {
		return
	}
	if err := p.store.RevokeLease(ctx, p.lease); err != nil {
		p.log.Warn("router not withdrawn", "lease", p.lease, "err", err)
		return
	}
	p.log.Info("router withdrawn", "lease", p.lease)
	p.lease = 0
}
