package edge

import (
	"slices"
	"time"

	"agateswitch/adapter/bootclock"
	"agateswitch/adapter/telemetry"
	coreduty "agateswitch/core/duty"
	"agateswitch/core/fleet"
	"agateswitch/node/duty"
	"agateswitch/node/usage"
	"agateswitch/port"
	"agateswitch/settings"

	"github.com/charmbracelet/log"
)

// addDuties sets up the singleton duties that the platform wants and the settings describe.
func (r *Router) addDuties(self fleet.HostID, s settings.Gateway, external port.Edge, metrics *telemetry.Metrics, logger *log.Logger) error {
	if external.Duties == nil || s.Duties.Lease <= 0 {
		return nil
	}
	clock := r.network.Clock
	if clock == nil {
		clock = bootclock.Clock{}
	}
	r.duties = duty.New(self, external.Store, r.mesh, r.presence, clock, duty.Options{
		Lease:     coreduty.Lease{Length: time.Duration(s.Duties.Lease), Thaw: time.Duration(s.Duties.Thaw)},
		PerSecond: s.Duties.CallsPerSecond,
	}, logger)
	if err := r.duties.Observe(metrics.Meter()); err != nil {
		return err
	}
	if slices.Contains(external.DutyKinds, port.DutyUsage) && s.Duties.Usage.Window > 0 {
		r.usage = usage.New(self, external.Store, r.mesh, r.presence, external.Duties, clock, usage.Options{
			Window: time.Duration(s.Duties.Usage.Window), Late: time.Duration(s.Duties.Usage.Late),
		}, logger)
		r.duties.Register(r.usage)
		return r.usage.Observe(metrics.Meter())
	}
	return nil
}

// recordBegin returns the function that counts requests that upstreams have begun to run; nil if nobody wants to know.
func (r *Router) recordBegin() func(fleet.Team) {
	if r.usage == nil {
		return nil
	}
	return r.usage.Begin
}

// leave leaves the fleet, and hands the duties over.
func (r *Router) leave() {
	r.presence.Leave()
	if r.duties != nil {
		r.duties.Leave()
	}
}
