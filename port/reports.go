package port

import (
	"context"

	"agateswitch/core/fleet"
)

// EngineReports reads the load that engines report.
type EngineReports interface {
	Load(ctx context.Context, upstream fleet.Upstream) (fleet.LoadReport, error)
}
