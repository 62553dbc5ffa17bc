// Package running counts a router's running exchanges by the data centre of their upstream, so that
// operators see when a data centre that was taken out has no running exchange left.
package running

import (
	"context"
	"io"
	"maps"
	"sync"

	"agateswitch/core/fleet"
	"agateswitch/port"
)

// Upstreams is a port.Upstreams that counts its running exchanges. It is safe for concurrent use.
type Upstreams struct {
	port.Upstreams

	mu     sync.Mutex
	counts map[fleet.DataCentre]int
}

// Wrap returns upstreams with counting added.
func Wrap(upstreams port.Upstreams) *Upstreams {
	return &Upstreams{Upstreams: upstreams, counts: map[fleet.DataCentre]int{}}
}

// Counts returns the number of running exchanges by data centre. Data centres without any are absent.
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

// track makes end run when the answer's body is closed, or at once if there is none.
func (u *Upstreams) track(answer port.UpstreamAnswer, failure *port.UpstreamError, end func()) (port.UpstreamAnswer, *port.UpstreamError) {
	if failure != nil || answer.Body == nil {
		end()
		return answer, failure
	}
	answer.Body = &countedBody{ReadCloser: answer.Body, end: end}
	return answer, nil
}

// begin counts an exchange. The first call of the returned function ends the exchange.
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

// countedBody is an answer's body that ends its exchange when it is closed.
type countedBody struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	defer b.end()
	return b.ReadCloser.Close()
}
