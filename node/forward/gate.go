package forward

import (
	"bytes"
	"sync/atomic"
	"time"

	"agateswitch/core/fleet"
)

// gatedBody is the body of a non-idempotent call. It may be sent until a deadline, and once:
// it is no type that net/http knows how to rewind, as http.Transport sends a call with an
// Idempotency-Key header again when a connection fails and its body can be rewound.
type gatedBody struct {
	content *bytes.Reader
	sendBy  fleet.Deadline
	started atomic.Bool
	late    atomic.Bool
}

// Read implements io.Reader. The first read is the last moment before the call is sent:
// a connection may have taken long to open, and the process may have been paused meanwhile.
// The upstream then gets a broken call, whose headers it may have seen.
func (b *gatedBody) Read(buffer []byte) (int, error) {
	if !b.started.Swap(true) && b.sendBy.HasPassed(time.Now()) {
		b.late.Store(true)
	}
	if b.late.Load() {
		return 0, errTooLate
	}
	return b.content.Read(buffer)
}
