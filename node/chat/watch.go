package chat

import (
	"context"
	"io"
	"sync"
	"time"

	"agateswitch/core/exchange"
)

// watchdog closes a connection that exceeds the limits of its exchange. One watchdog serves all
// connections of an exchange, one at a time.
type watchdog struct {
	// mu guards the fields below: the timer's goroutine evaluates the progress that the reader records.
	mu       sync.Mutex
	progress *exchange.Progress
	timer    *time.Timer
	close    context.CancelFunc
	// delivering is true while an event is written to the caller. Nothing is read from the
	// connection during that time, so its silence is no fault and no limit applies.
	delivering bool
	// fault is the exceeded limit of the current connection; empty means none.
	fault exchange.Fault
}

func newWatchdog(limits exchange.Limits) *watchdog {
	return &watchdog{progress: exchange.NewProgress(limits, time.Now())}
}

// connect starts to watch a new connection. stop closes the connection and stops the timer.
func (w *watchdog) connect(ctx context.Context) (connection context.Context, stop func()) {
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

// check evaluates the limits on the timer's goroutine. If the timer fired before stop was called, the
// check of that earlier connection returns because the connection's context has ended.
func (w *watchdog) check(connection context.Context) {
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

// exceededLimit returns the fault of the limit that the connection exceeded, if any.
func (w *watchdog) exceededLimit() exchange.Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault
}

// isStalled reports whether the exchange exceeded its stall limit over all connections.
func (w *watchdog) isStalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	fault, _ := w.progress.Evaluate(time.Now())
	return fault == exchange.FaultStalled
}

func (w *watchdog) recordBytes() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress.RecordBytes(time.Now())
}

// deliver runs write, which writes an event to the caller, and records the event.
func (w *watchdog) deliver(write func() error) error {
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

// watchedReader records in the watchdog that bytes arrived on a connection.
type watchedReader struct {
	io.Reader
	watchdog *watchdog
}

// Read implements io.Reader.
func (r watchedReader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	if n > 0 {
		r.watchdog.recordBytes()
	}
	return n, err
}
