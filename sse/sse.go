// Package sse reads and writes server-sent events (WHATWG HTML, section 9.2).
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

// MaxEventBytes is the maximum size of an event that is read.
const MaxEventBytes = 1 << 20

// ErrTooLarge is returned when an event is larger than MaxEventBytes.
const ErrTooLarge = errors.ConstError("event too large")

// Done is the data of the event that ends a chat-completions stream.
const Done = "[DONE]"

var byteOrderMark = []byte("\xef\xbb\xbf")

// Event is one server-sent event.
type Event struct {
	ID   string
	Name string
	Data []byte
}

// IsDone reports whether the event ends a chat-completions stream.
func (e Event) IsDone() bool { return string(e.Data) == Done }

// Reader reads events from a stream. Lines end in LF, CRLF or CR.
type Reader struct {
	buffered *bufio.Reader
	text     []byte
	data     []byte
	started  bool
	// lastLineEndedInCR is true when a following LF belongs to the end of the last line.
	lastLineEndedInCR bool
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{buffered: bufio.NewReader(r)}
}

// Next returns the next event. Its Data is valid until the next call. As the standard requires, an
// event truncated by the end of the stream is dropped and io.EOF is returned.
func (r *Reader) Next() (Event, error) {
	var event Event
	var hasData bool
	size := 0
	r.data = r.data[:0]
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
				event.Data = r.data
				return event, nil
			}
			event, size = Event{}, 0
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "data":
			if hasData {
				r.data = append(r.data, '\n')
			}
			r.data = append(r.data, value...)
			hasData = true
		case "id":
			// The standard requires that an id with a NUL is ignored.
			if bytes.IndexByte(value, 0) < 0 {
				event.ID = string(value)
			}
		case "event":
			event.Name = string(value)
		}
	}
}

// line reads one line without its line end. The result is valid until the next call.
func (r *Reader) line() ([]byte, error) {
	r.text = r.text[:0]
	for {
		part, err := r.peek()
		if err != nil {
			return nil, err
		}
		if r.lastLineEndedInCR {
			r.lastLineEndedInCR = false
			if part[0] == '\n' {
				r.buffered.Discard(1)
				continue
			}
		}
		end := lineEnd(part)
		if end < 0 {
			end = len(part)
		}
		if len(r.text)+end > MaxEventBytes {
			return nil, errors.Trace(ErrTooLarge)
		}
		r.text = append(r.text, part[:end]...)
		if end == len(part) {
			r.buffered.Discard(end)
			continue
		}
		r.lastLineEndedInCR = part[end] == '\r'
		r.buffered.Discard(end + 1)
		return r.trimByteOrderMark(), nil
	}
}

// peek returns the buffered bytes, after reading at least one.
func (r *Reader) peek() ([]byte, error) {
	if _, err := r.buffered.Peek(1); err != nil {
		return nil, err
	}
	return r.buffered.Peek(r.buffered.Buffered())
}

// lineEnd returns the index of the first LF or CR, or -1.
func lineEnd(text []byte) int {
	feed := bytes.IndexByte(text, '\n')
	if feed >= 0 {
		text = text[:feed]
	}
	if carriage := bytes.IndexByte(text, '\r'); carriage >= 0 {
		return carriage
	}
	return feed
}

// trimByteOrderMark returns the current line without the byte order mark of the stream's first line.
func (r *Reader) trimByteOrderMark() []byte {
	if r.started {
		return r.text
	}
	r.started = true
	return bytes.TrimPrefix(r.text, byteOrderMark)
}

// Append appends the wire form of an event to a buffer. A CR in the data starts a new data line,
// since readers treat it as a line end.
func Append(buffer []byte, event Event) []byte {
	if event.ID != "" {
		buffer = append(append(append(buffer, "id: "...), event.ID...), '\n')
	}
	if event.Name != "" {
		buffer = append(append(append(buffer, "event: "...), event.Name...), '\n')
	}
	rest := event.Data
	for {
		end := lineEnd(rest)
		if end < 0 {
			break
		}
		buffer = append(append(append(buffer, "data: "...), rest[:end]...), '\n')
		if rest[end] == '\r' && end+1 < len(rest) && rest[end+1] == '\n' {
			end++
		}
		rest = rest[end+1:]
	}
	return append(append(append(buffer, "data: "...), rest...), '\n', '\n')
}
