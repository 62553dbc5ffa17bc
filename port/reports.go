package port

import (
	"context"

	"agateswitch/core/fleet"
)

// EngineReports reads the load reports of engines.
type EngineReports interface {
	// Load reads the current report of an engine.
	Load(ctx context.Context, upstream fleet.Upstream) (fleet.LoadReport, error)
}
