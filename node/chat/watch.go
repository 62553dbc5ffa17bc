package chat

import (
	"context"
	"io"
	"sync"
	"time"

	"agateswitch/core/exchange"
)

// watch closes a connection that breaks the limits of its exchange. It works over all
// connections of one exchange, one at a time.
type watch struct {
	// mu guards the fields below: the timer's goroutine judges while the reader notes.
	mu       sync.Mutex
	progress *exchange.Progress
	timer    *time.Timer
	close    context.CancelFunc
	// delivering is true while an event is written to the caller. Nothing is read from
	// the connection meanwhile, so its silence proves nothing.
	delivering bool
	fault      exchange.Fault
}

func newWatch(limits exchange.Limits) *watch {
	return &watch{progress: exchange.NewProgress(limits, time.Now())}
}

// connect starts to watch a new connection. stop ends the watch and the connection.
func (w *watch) connect(ctx context.Context) (connection context.Context, stop func()) {
	connection, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress.RecordConnect(time.Now())
	w.close, w.fault = cancel, ""
	_, next := w.progress.Evaluate(time.Now())
	w.timer = time.AfterFunc(time.Until(next), func() { w.check(connection) })
	return connection, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.timer.Stop()
		cancel()
	}
}

// check runs on the timer's goroutine. A check of an earlier connection, which stop
// came too late for, finds that connection's context ended.
func (w *watch) check(connection context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if connection.Err() != nil {
		return
	}
	now := time.Now()
	if w.delivering {
		w.progress.RecordBytes(now)
	}
	fault, next := w.progress.Evaluate(now)
	if fault == "" {
		w.timer.Reset(next.Sub(now))
		return
	}
	if w.delivering {
		w.timer.Reset(time.Second)
		return
	}
	w.fault = fault
	w.close()
}

// broken returns the limit that the connection broke, if any.
func (w *watch) broken() exchange.Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault
}

// isStalled tells whether the whole exchange has used up its time without an event.
func (w *watch) isStalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	fault, _ := w.progress.Evaluate(time.Now())
	return fault == exchange.FaultStalled
}

func (w *watch) bytes() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress.RecordBytes(time.Now())
}

// deliver runs a write of an event to the caller.
func (w *watch) deliver(write func() error) error {
	w.mu.Lock()
	w.delivering = true
	w.mu.Unlock()
	err := write()
	w.mu.Lock()
	w.delivering = false
	w.progress.RecordEvent(time.Now())
	w.mu.Unlock()
	return err
}

// watchedReader notes every byte that a connection brings.
type watchedReader struct {
	io.Reader
	watch *watch
}

// Read implements io.Reader.
func (r watchedReader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	if n > 0 {
		r.watch.bytes()
	}
	return n, err
}
