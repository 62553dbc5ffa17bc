package edge

import (
	"net/http"
	"slices"
	"time"

	"agateswitch/adapter/telemetry"
	"agateswitch/node/scaling"
	"agateswitch/port"
	"agateswitch/settings"

	"github.com/charmbracelet/log"
)

// addScaling registers the duty that orders engines, if the platform takes such orders, and the list of what would be ordered. The gateway
// must be set.
func (r *Router) addScaling(s settings.Gateway, external port.Edge, metrics *telemetry.Metrics, reports *http.ServeMux, logger *log.Logger) error {
	if r.duties == nil || !slices.Contains(external.DutyKinds, port.DutyEngines) {
		return nil
	}
	service := scaling.New(scaling.Dependencies{
		Pools: r.gateway, Loads: r.workload, Fleet: r.presence, Duties: external.Duties,
		CopyAge: r.replica.Age, MaxCopyAge: time.Duration(s.ChangeDeadline), Log: logger,
	})
	r.duties.Register(service)
	reports.Handle(scaling.Path, service)
	return service.Observe(metrics.Meter())
}
