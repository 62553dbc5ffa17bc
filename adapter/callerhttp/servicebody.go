package callerhttp

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

var errBodyClosed = errors.New("the call has ended")

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// serviceBody streams a caller's body within its limits of size and time. The transport
// to the upstream may read it for a moment longer than the call lasts, until close.
type serviceBody struct {
	source     io.Reader
	controller *http.ResponseController
	end        time.Time
	// reading has room for the one read that may run.
	reading chan struct{}

	// mu orders a read's deadline against the one by which close ends it.
	mu     sync.Mutex
	closed bool
	atEnd  bool
}

// newServiceBody returns the body of a request; nil means that it has none.
func newServiceBody(w http.ResponseWriter, r *http.Request) *serviceBody {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	return &serviceBody{
		source:     http.MaxBytesReader(w, r.Body, MaxServiceBodyBytes),
		controller: http.NewResponseController(w),
		end:        time.Now().Add(ServiceBodyTimeout),
		reading:    make(chan struct{}, 1),
	}
}

// Read implements io.Reader.
func (b *serviceBody) Read(buffer []byte) (int, error) {
	b.reading <- struct{}{}
	defer func() { <-b.reading }()
	if !b.begin() {
		return 0, errBodyClosed
	}
	n, err := b.source.Read(buffer)
	if err == io.EOF {
		b.finish()
	}
	return n, err
}

// begin sets the deadline of a read, unless the call has ended.
func (b *serviceBody) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	limit := time.Now().Add(ServiceBodyIdle)
	if limit.After(b.end) {
		limit = b.end
	}
	b.controller.SetReadDeadline(limit)
	return true
}

func (b *serviceBody) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.atEnd = true
	if !b.closed {
		b.controller.SetReadDeadline(time.Time{})
	}
}

// close ends a read that runs, and all later ones.
func (b *serviceBody) close() {
	b.mu.Lock()
	b.closed = true
	if !b.atEnd {
		b.controller.SetReadDeadline(longAgo)
	}
	b.mu.Unlock()
	b.reading <- struct{}{}
	<-b.reading
}
