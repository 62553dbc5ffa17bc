package detour

import (
	"context"
	"encoding/json"

	"agateswitch/core/exchange"
	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/juju/errors"
)

// Send sends a call through another router. With an error, the report is that router's word on the request, or nil if there is
// none.
func (s *Service) Send(ctx context.Context, via fleet.HostID, order Order, call port.UpstreamCall) (port.UpstreamAnswer, *Report, *port.UpstreamError) {
	text, err := json.Marshal(order)
	if err != nil {
		return port.UpstreamAnswer{}, nil, &port.UpstreamError{Cause: errors.Trace(err), Ran: fleet.NotRun, Fault: exchange.FaultMalformed}
	}
	call.Upstream = fleet.Upstream{ID: fleet.UpstreamID(via), Address: Address(via)}
	call.Header.Set(headerOrder, string(text))
	answer, failure := s.upstreams.Send(ctx, call)
	if failure != nil {
		return port.UpstreamAnswer{}, nil, failure
	}
	report, err := readReport(answer.Header)
	if err != nil {
		answer.Body.Close()
		return port.UpstreamAnswer{}, nil, &port.UpstreamError{Cause: err, Ran: fleet.RanUnknown, Fault: exchange.FaultMalformed}
	}
	if report.Failed {
		answer.Body.Close()
		cause := errors.Errorf("through router %s: %s", via, report.Cause)
		return port.UpstreamAnswer{}, &report, &port.UpstreamError{Cause: cause, Ran: report.Ran, Fault: exchange.FaultRejected}
	}
	return answer, &report, nil
}
