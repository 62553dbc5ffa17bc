package running

import (
	"context"
	"io"
	"strings"
	"testing"

	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/shoenig/test/must"
)

type fakeUpstreams struct {
	port.Upstreams
	failure *port.UpstreamError
}

func (f *fakeUpstreams) Send(context.Context, port.UpstreamCall) (port.UpstreamAnswer, *port.UpstreamError) {
	return port.UpstreamAnswer{Body: io.NopCloser(strings.NewReader("x"))}, f.failure
}

// An exchange is counted from the send until its body is closed or the send fails.
func TestExchangesAreCountedUntilTheyEnd(t *testing.T) {
	inner := &fakeUpstreams{}
	counted := Wrap(inner)
	call := port.UpstreamCall{Upstream: fleet.Upstream{DataCentre: "arima"}}
	first, _ := counted.Send(t.Context(), call)
	second, _ := counted.Send(t.Context(), call)
	must.Eq(t, map[fleet.DataCentre]int{"arima": 2}, counted.Counts())
	must.NoError(t, first.Body.Close())
	must.NoError(t, first.Body.Close())
	must.Eq(t, map[fleet.DataCentre]int{"arima": 1}, counted.Counts())
	inner.failure = &port.UpstreamError{Ran: fleet.NotRun}
	counted.Send(t.Context(), call)
	must.NoError(t, second.Body.Close())
	must.MapEmpty(t, counted.Counts())
}
