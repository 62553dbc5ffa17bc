package telemetry

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/metric"
)

// asyncLines is how many log lines may wait for a slow reader.
const asyncLines = 1024

// AsyncWriter passes lines on in the background. Lines that find the queue full are dropped and
// counted, so that a process never waits for the reader of its log.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64

	// mu lets Close wait for writes that have begun; later ones are dropped.
	mu     sync.RWMutex
	closed bool
}

// NewAsyncWriter makes a writer to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			if _, err := w.Write(line); err != nil {
				// There is no other place where this could be told.
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

// Observe makes the counter of lines that were lost.
func (a *AsyncWriter) Observe(meter metric.Meter) error {
	_, err := meter.Int64ObservableCounter("agateswitch_log_lines_dropped",
		metric.WithDescription("Log lines that were lost, since their reader was too slow or gone"),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(a.dropped.Load())
			return nil
		}))
	return errors.Trace(err)
}

// Close writes the waiting lines.
func (a *AsyncWriter) Close() {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	<-a.done
}
