package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"agateswitch/node/intake"

	"github.com/juju/errors"
)

// Limits of the memory for answers that are not complete yet.
const (
	// maxAnswerBytes is the maximum size of a buffered answer.
	maxAnswerBytes = 16 << 20
	// freeAnswerBytes is how much of each answer or event is not counted against maxHeldBytes.
	freeAnswerBytes = 64 << 10
	// maxHeldBytes bounds what a router holds above that of all answers and events together, if its host's memory does not ask for less.
	maxHeldBytes = 32 << 20
	// maxDrainedBytes is how much of an answer is read that is not used, so that its connection can be reused.
	maxDrainedBytes = 4 << 10
	// deliveredPiece is how much of a large answer is written to its caller at once.
	deliveredPiece = 16 << 10
	// readerPatience is how far a caller may be behind 4 KB a second before its large answer gives way to another one.
	readerPatience = 5 * time.Second
)

const (
	// errTooLarge is returned for an answer of more than maxAnswerBytes.
	errTooLarge = errors.ConstError("it is larger than a router holds")
	// errNoMemory is returned for a large answer while the router holds maxHeldBytes.
	errNoMemory = errors.ConstError("the router holds too many large answers")
)

// NewAnswerAccount returns the memory for large answers of a router of which they may take the given number of bytes, 0 if that is not
// known.
func NewAnswerAccount(share int64) *intake.Account {
	if share == 0 || share > maxHeldBytes {
		share = maxHeldBytes
	}
	return intake.NewAccount(share)
}

// holding is what one request holds of large answers. It gives way only while its caller has to read. It is not safe for concurrent
// use.
type holding struct {
	account *intake.Account
	// abort ends the answer of a caller that reads too slowly.
	abort func()
	// holder is nil until the request holds something.
	holder *intake.Holder
}

// newHolding returns what the request holds of large answers: nothing yet.
func (c *callerRequest) newHolding() holding {
	return holding{account: c.gateway.Answers, abort: func() {
		if !intake.Abort(c.request.Context()) {
			// Where it can't be set, the request's deadline ends it.
			_ = http.NewResponseController(c.writer).SetWriteDeadline(time.Now())
		}
	}}
}

// grow counts more bytes for the request. It reports false if there is no memory for them.
func (h *holding) grow(count int) bool {
	if h.holder == nil {
		h.holder = h.account.NewHolder(h.abort)
		h.holder.Allow(false, readerPatience)
		h.holder.Keep()
	}
	if h.holder.Take(context.Background(), int64(count)) != nil {
		return false
	}
	h.holder.Progress(count)
	return true
}

// release counts the request's bytes as free again.
func (h *holding) release() {
	if h.holder != nil {
		h.holder.Close()
		h.holder = nil
	}
}

// deliver writes to the caller, which gives way to other answers if it reads more slowly than others.
func (h *holding) deliver(to io.Writer, content []byte) error {
	if h.holder == nil {
		_, err := to.Write(content)
		return err
	}
	h.holder.Yield()
	defer h.holder.Keep()
	for len(content) > 0 {
		count, err := to.Write(content[:min(len(content), deliveredPiece)])
		if err != nil {
			return err
		}
		h.holder.Progress(count)
		content = content[count:]
	}
	return nil
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
	// No more is read at once than is counted below.
	count, err := r.from.Read(p[:min(len(p), freeAnswerBytes)])
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
	// Unlike io.ReadAll, a buffer doubles, which leaves less garbage of large answers.
	var body bytes.Buffer
	_, err := body.ReadFrom(&heldReader{from: from, holding: h, uncounted: freeAnswerBytes})
	return body.Bytes(), err
}

// drain reads the rest of an answer that is not used, if it is short.
func drain(from io.Reader) {
	// An error means that the connection can't be reused, which the transport finds, too.
	_, _ = io.CopyN(io.Discard, from, maxDrainedBytes)
}
