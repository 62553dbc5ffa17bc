// Package sse reads and writes server-sent events (WHATWG HTML, section 9.2).
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

// MaxEventBytes is the largest event that is read.
const MaxEventBytes = 1 << 20

// ErrTooLarge means that an event is larger than MaxEventBytes.
const ErrTooLarge = errors.ConstError("event too large")

// Done is the data of the event that ends a chat-completions stream.
const Done = "[DONE]"

// Event is one server-sent event.
type Event struct {
	ID   string
	Name string
	Data []byte
}

// IsDone tells whether the event ends a chat-completions stream.
func (e Event) IsDone() bool { return string(e.Data) == Done }

// Reader reads events from a stream.
type Reader struct {
	lines *bufio.Reader
}

// NewReader makes a reader.
func NewReader(r io.Reader) *Reader {
	return &Reader{lines: bufio.NewReader(r)}
}

// Next returns the next event. An event that the stream's end cuts off is dropped, and
// io.EOF returned, as the standard says.
func (r *Reader) Next() (Event, error) {
	var event Event
	var hasData bool
	size := 0
	for {
		line, err := r.line()
		if err != nil {
			return Event{}, err
		}
		size += len(line)
		if size > MaxEventBytes {
			return Event{}, errors.Trace(ErrTooLarge)
		}
		if len(line) == 0 {
			if hasData {
				return event, nil
			}
			event = Event{}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "data":
			if hasData {
				event.Data = append(event.Data, '\n')
			}
			event.Data = append(event.Data, value...)
			hasData = true
		case "id":
			event.ID = string(value)
		case "event":
			event.Name = string(value)
		}
	}
}

// line reads one line without its end.
func (r *Reader) line() ([]byte, error) {
	var line []byte
	for {
		part, err := r.lines.ReadSlice('\n')
		if len(line)+len(part) > MaxEventBytes {
			return nil, errors.Trace(ErrTooLarge)
		}
		line = append(line, part...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}

// Append adds the wire form of an event to a buffer.
func Append(buffer []byte, event Event) []byte {
	if event.ID != "" {
		buffer = append(append(append(buffer, "id: "...), event.ID...), '\n')
	}
	if event.Name != "" {
		buffer = append(append(append(buffer, "event: "...), event.Name...), '\n')
	}
	for _, line := range bytes.Split(event.Data, []byte{'\n'}) {
		buffer = append(append(append(buffer, "data: "...), line...), '\n')
	}
	return append(buffer, '\n')
}
