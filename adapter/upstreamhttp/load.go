package upstreamhttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"agateswitch/core/fleet"

	"github.com/juju/errors"
)

// PathLoad is the path of an engine's load, an ORCA load report in JSON. Its named metrics carry
// the values that routers use. See the xDS ORCA protocol, message OrcaLoadReport.
const PathLoad = "/load"

// maxLoadReportBytes is the maximum size of a load report.
const maxLoadReportBytes = 4 << 10

// LoadReport is the JSON form of a load report.
type LoadReport struct {
	NamedMetrics LoadMetrics `json:"named_metrics"`
}

// LoadMetrics are the named metrics of a load report.
type LoadMetrics struct {
	Incarnation  string `json:"incarnation"`
	Running      int    `json:"running"`
	Work         int64  `json:"work"`
	Completed    int64  `json:"completed"`
	CacheEntries int    `json:"cache_entries"`
}

// Load implements port.EngineReports.
func (c *Client) Load(ctx context.Context, upstream fleet.Upstream) (fleet.LoadReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+upstream.Address+PathLoad, nil)
	if err != nil {
		return fleet.LoadReport{}, errors.Trace(err)
	}
	answer, err := c.pooled.Do(request)
	if err != nil {
		return fleet.LoadReport{}, errors.Annotatef(err, "reading the load of %s", upstream.ID)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fleet.LoadReport{}, errors.Errorf("reading the load of %s: status %d", upstream.ID, answer.StatusCode)
	}
	var report LoadReport
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxLoadReportBytes)).Decode(&report); err != nil {
		return fleet.LoadReport{}, errors.Annotatef(err, "decoding the load of %s", upstream.ID)
	}
	m := report.NamedMetrics
	return fleet.LoadReport{
		Incarnation: m.Incarnation, Running: max(0, m.Running), Work: fleet.Work(max(0, m.Work)),
		Completed: m.Completed, CacheEntries: m.CacheEntries,
	}, nil
}
