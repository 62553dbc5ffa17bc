// Package logtest collects log output in tests.
package logtest

import (
	"bytes"
	"sync"
)

// Buffer is a log output that several routers can share. It is safe for concurrent use.
type Buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *Buffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(text)
}

// String returns everything written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
