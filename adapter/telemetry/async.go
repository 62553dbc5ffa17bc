package telemetry

import (
	"io"
	"sync/atomic"
)

// asyncLines is how many log lines may wait for a slow reader.
const asyncLines = 1024

// AsyncWriter passes lines on in the background. Lines that find the queue full are dropped and
// counted, so that a process never waits for the reader of its log.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
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
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were lost.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the waiting lines. Nothing may be written afterwards.
func (a *AsyncWriter) Close() {
	close(a.lines)
	<-a.done
}
