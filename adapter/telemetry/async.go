package telemetry

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/metric"
)

// maxQueuedLines is the maximum number of log lines queued for a slow reader.
const maxQueuedLines = 1024

// AsyncWriter writes log lines in the background. It drops and counts lines when the queue is full,
// so the process never blocks on the reader of its log.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64

	// mu makes Close wait for writes in progress; later writes are dropped.
	mu     sync.RWMutex
	closed bool
}

// NewAsyncWriter returns a writer to w. Close ends its goroutine.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			if _, err := w.Write(line); err != nil {
				// The log itself has failed, so the error is only counted.
				a.dropped.Add(1)
			}
		}
	}()
	return a
}

// Write implements io.Writer.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.closed {
		a.dropped.Add(1)
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Observe registers the counter of dropped lines.
func (a *AsyncWriter) Observe(meter metric.Meter) error {
	_, err := meter.Int64ObservableCounter("agateswitch_log_lines_dropped",
		metric.WithDescription("Log lines that were lost, since their reader was too slow or gone"),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(a.dropped.Load())
			return nil
		}))
	return errors.Trace(err)
}

// Close writes the queued lines and stops the writer.
func (a *AsyncWriter) Close() {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	<-a.done
}
