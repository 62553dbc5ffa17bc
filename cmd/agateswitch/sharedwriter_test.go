package main

import (
	"bytes"
	"runtime"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// exclusiveWriter notes writes that overlap.
type exclusiveWriter struct {
	bytes.Buffer
	writing    sync.Mutex
	overlapped bool
}

func (w *exclusiveWriter) Write(text []byte) (int, error) {
	if !w.writing.TryLock() {
		w.overlapped = true
		return len(text), nil
	}
	defer w.writing.Unlock()
	runtime.Gosched()
	return w.Buffer.Write(text)
}

// The demo's progress and its log wrote to one writer at the same time.
func TestSharedWriterAdmitsOneWriteAtATime(t *testing.T) {
	to := &exclusiveWriter{}
	w := &sharedWriter{to: to}
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 1000 {
				_, _ = w.Write([]byte("x"))
			}
		})
	}
	writers.Wait()
	must.False(t, to.overlapped)
	must.Eq(t, 8000, to.Len())
}
