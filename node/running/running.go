// Package running counts a router's running exchanges by the data centre of their upstreams, so that
// operators see when a data centre that was taken out of service has no running exchange.
package running

import (
	"context"
	"io"
	"maps"
	"sync"

	"agateswitch/core/fleet"
	"agateswitch/port"
)

// Upstreams is a port.Upstreams that counts running exchanges. It is safe for concurrent use.
type Upstreams struct {
	port.Upstreams

	mu     sync.Mutex
	counts map[fleet.DataCentre]int
}

// Wrap returns upstreams with counted exchanges.
func Wrap(upstreams port.Upstreams) *Upstreams {
	return &Upstreams{Upstreams: upstreams, counts: map[fleet.DataCentre]int{}}
}

// Counts returns the number of running exchanges by data centre, without entries that are zero.
func (u *Upstreams) Counts() map[fleet.DataCentre]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.counts)
}

// Send implements port.Upstreams. An exchange runs until its body is closed.
func (u *Upstreams) Send(ctx context.Context, call port.UpstreamCall) (port.UpstreamAnswer, *port.UpstreamError) {
	end := u.begin(call.Upstream.DataCentre)
	answer, failure := u.Upstreams.Send(ctx, call)
	return u.track(answer, failure, end)
}

// Resume implements port.Upstreams.
func (u *Upstreams) Resume(ctx context.Context, upstream fleet.Upstream, request fleet.RequestID,
	after string) (port.UpstreamAnswer, *port.UpstreamError) {
	end := u.begin(upstream.DataCentre)
	answer, failure := u.Upstreams.Resume(ctx, upstream, request, after)
	return u.track(answer, failure, end)
}

// track ends a failed exchange immediately, and another one when its body is closed.
func (u *Upstreams) track(answer port.UpstreamAnswer, failure *port.UpstreamError, end func()) (port.UpstreamAnswer, *port.UpstreamError) {
	if failure != nil || answer.Body == nil {
		end()
		return answer, failure
	}
	answer.Body = &countedBody{ReadCloser: answer.Body, end: end}
	return answer, nil
}

// begin counts an exchange. The returned function ends it; further calls have no effect.
func (u *Upstreams) begin(dataCentre fleet.DataCentre) (end func()) {
	u.add(dataCentre, 1)
	return sync.OnceFunc(func() { u.add(dataCentre, -1) })
}

func (u *Upstreams) add(dataCentre fleet.DataCentre, change int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts[dataCentre] += change
	if u.counts[dataCentre] == 0 {
		delete(u.counts, dataCentre)
	}
}

// countedBody ends its exchange when it is closed.
type countedBody struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	defer b.end()
	return b.ReadCloser.Close()
}
