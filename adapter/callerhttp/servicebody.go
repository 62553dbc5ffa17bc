package callerhttp

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// errBodyClosed is returned by a read after close.
var errBodyClosed = errors.New("request body is closed: the call has ended")

// pastDeadline is a deadline in the past, which ends a running read.
var pastDeadline = time.Unix(1, 0)

// serviceBody streams a caller's body, limited by MaxServiceBodyBytes, ServiceBodyTimeout and
// ServiceBodyIdleTimeout. The transport to the upstream may still read it shortly after the call has
// ended, so close must be called at the end of the call.
type serviceBody struct {
	source     io.Reader
	controller *http.ResponseController
	deadline   time.Time
	// readSemaphore admits one read at a time.
	readSemaphore chan struct{}

	// mu serialises beginRead and close, so that no read replaces the deadline that close has set.
	mu     sync.Mutex
	closed bool
	eof    bool
}

// newServiceBody returns the body of a request, or nil if it has none.
func newServiceBody(w http.ResponseWriter, r *http.Request) *serviceBody {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	return &serviceBody{
		source:        http.MaxBytesReader(w, r.Body, MaxServiceBodyBytes),
		controller:    http.NewResponseController(w),
		deadline:      time.Now().Add(ServiceBodyTimeout),
		readSemaphore: make(chan struct{}, 1),
	}
}

// Read implements io.Reader.
func (b *serviceBody) Read(buffer []byte) (int, error) {
	b.readSemaphore <- struct{}{}
	defer func() { <-b.readSemaphore }()
	if !b.beginRead() {
		return 0, errBodyClosed
	}
	n, err := b.source.Read(buffer)
	if err == io.EOF {
		b.recordEOF()
	}
	return n, err
}

// beginRead sets the deadline of a read. It reports false if the body is closed.
func (b *serviceBody) beginRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	readDeadline := time.Now().Add(ServiceBodyIdleTimeout)
	if readDeadline.After(b.deadline) {
		readDeadline = b.deadline
	}
	b.controller.SetReadDeadline(readDeadline)
	return true
}

// recordEOF records that the body was read completely, and clears the read deadline.
func (b *serviceBody) recordEOF() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.eof = true
	if !b.closed {
		b.controller.SetReadDeadline(time.Time{})
	}
}

// close ends a running read, waits for it, and makes further reads fail.
func (b *serviceBody) close() {
	b.mu.Lock()
	b.closed = true
	if !b.eof {
		b.controller.SetReadDeadline(pastDeadline)
	}
	b.mu.Unlock()
	b.readSemaphore <- struct{}{}
	<-b.readSemaphore
}
