package gateway

import (
	"io"
	"sync/atomic"

	"github.com/juju/errors"
)

// Limits of the memory for answers that are not complete yet.
const (
	// maxAnswerBytes is the maximum size of a buffered answer.
	maxAnswerBytes = 16 << 20
	// freeAnswerBytes is how much of each answer or event is not counted against maxHeldBytes.
	freeAnswerBytes = 64 << 10
	// maxHeldBytes bounds what a router holds above that of all answers and events together. The smallest hosts have
	// 184 MB.
	maxHeldBytes = 32 << 20
	// maxDrainedBytes is how much of an answer is read that is not used, so that its connection can be reused.
	maxDrainedBytes = 4 << 10
)

const (
	// errTooLarge is returned for an answer of more than maxAnswerBytes.
	errTooLarge = errors.ConstError("it is larger than a router holds")
	// errNoMemory is returned for a large answer while the router holds maxHeldBytes.
	errNoMemory = errors.ConstError("the router holds too many large answers")
)

// heldBytes counts the bytes above freeAnswerBytes that a router holds.
type heldBytes struct{ sum atomic.Int64 }

// take counts more bytes. It reports false, and counts none, if that exceeds maxHeldBytes.
func (h *heldBytes) take(count int) bool {
	if h.sum.Add(int64(count)) > maxHeldBytes {
		h.sum.Add(int64(-count))
		return false
	}
	return true
}

// holding is what one request holds. It is not safe for concurrent use.
type holding struct {
	all   *heldBytes
	count int
}

// grow counts more bytes for the request. It reports false if there is no memory for them.
func (h *holding) grow(count int) bool {
	if !h.all.take(count) {
		return false
	}
	h.count += count
	return true
}

// release counts the request's bytes as free again.
func (h *holding) release() {
	h.all.sum.Add(int64(-h.count))
	h.count = 0
}

// heldReader reads an answer and counts what is above freeAnswerBytes.
type heldReader struct {
	from    io.Reader
	holding *holding
	read    int
	// uncounted is how much more may be read before it is counted.
	uncounted int
}

// Read implements io.Reader.
func (r *heldReader) Read(p []byte) (int, error) {
	count, err := r.from.Read(p)
	r.read += count
	r.uncounted -= count
	switch {
	case r.read > maxAnswerBytes:
		return count, errTooLarge
	case r.uncounted < 0:
		// A buffer that grows has up to twice the size of its content.
		if !r.holding.grow(2 * freeAnswerBytes) {
			return count, errNoMemory
		}
		r.uncounted += freeAnswerBytes
	}
	return count, err
}

// readComplete reads an answer to its end. It fails when the answer ends before its end marker or its declared
// length, exceeds maxAnswerBytes, or finds no memory.
func (h *holding) readComplete(from io.Reader) ([]byte, error) {
	return io.ReadAll(&heldReader{from: from, holding: h, uncounted: freeAnswerBytes})
}

// drain reads the rest of an answer that is not used, if it is short.
func drain(from io.Reader) {
	// An error means that the connection can't be reused, which the transport finds, too.
	_, _ = io.CopyN(io.Discard, from, maxDrainedBytes)
}
