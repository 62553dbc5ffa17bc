package main

import (
	"io"
	"sync"
)

// sharedWriter lets several goroutines write to one writer, one at a time.
type sharedWriter struct {
	mu sync.Mutex
	to io.Writer
}

// Write implements io.Writer.
func (w *sharedWriter) Write(text []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.to.Write(text)
}
