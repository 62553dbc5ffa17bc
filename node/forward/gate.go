package forward

import (
	"bytes"
	"sync/atomic"
	"time"

	"agateswitch/core/fleet"
)

// gatedBody is the body of a non-idempotent call. It can be sent once, and only until a deadline.
// http.Transport repeats a request with an Idempotency-Key header after a connection failure if it can
// rewind the body; gatedBody is deliberately not a type that net/http can rewind.
type gatedBody struct {
	content *bytes.Reader
	sendBy  fleet.Deadline
	// started is true after the first read.
	started atomic.Bool
	// expired is true if the first read came after sendBy.
	expired atomic.Bool
}

// Read implements io.Reader. The deadline is checked on the first read, immediately before the body is
// sent, because opening the connection may have taken long and the process may have been paused.
// After the deadline the upstream receives a truncated call, of which it may have read the headers.
func (b *gatedBody) Read(buffer []byte) (int, error) {
	if !b.started.Swap(true) && b.sendBy.HasPassed(time.Now()) {
		b.expired.Store(true)
	}
	if b.expired.Load() {
		return 0, errSendExpired
	}
	return b.content.Read(buffer)
}
