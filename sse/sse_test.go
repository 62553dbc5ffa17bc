package sse_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"agateswitch/sse"

	"github.com/shoenig/test/must"
)

func readAll(r io.Reader) ([]sse.Event, error) {
	reader := sse.NewReader(r)
	var events []sse.Event
	for {
		event, err := reader.Next()
		if err != nil {
			return events, err
		}
		event.Data = bytes.Clone(event.Data)
		events = append(events, event)
	}
}

// All line ends, comments, a byte order mark and a truncated event are handled as the standard requires,
// also when the bytes arrive one at a time.
func TestReaderFollowsStandard(t *testing.T) {
	one := []sse.Event{{ID: "1", Data: []byte("a")}, {ID: "2", Data: []byte("b")}}
	cases := []struct {
		name, text string
		want       []sse.Event
	}{
		{"line feeds", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", one},
		{"both", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", one},
		{"carriage returns", "id: 1\rdata: a\r\rid: 2\rdata: b\r\rx", one},
		{"byte order mark", "\xef\xbb\xbfid: 1\ndata: a\n\nid: 2\ndata: b\n\n", one},
		{"comments", ": ping\n\nid: 1\n: x\ndata: a\n\n: ping\n\nid: 2\ndata: b\n\n", one},
		{"cut event is dropped", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n", one},
		{"several lines", "data: a\ndata:b\n\n", []sse.Event{{Data: []byte("a\nb")}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, reader := range []io.Reader{strings.NewReader(c.text), iotest.OneByteReader(strings.NewReader(c.text))} {
				events, err := readAll(reader)
				must.ErrorIs(t, err, io.EOF)
				must.Eq(t, c.want, events)
			}
		})
	}
}

// endless is a stream that repeats a text forever.
type endless string

func (e endless) Read(buffer []byte) (int, error) { return copy(buffer, e), nil }

// An event or a line without an end is refused before it exhausts the memory.
func TestReaderRefusesEndlessEventsAndLines(t *testing.T) {
	for _, text := range []endless{"x", "data: x\n", "id: 1\n"} {
		_, err := readAll(text)
		must.ErrorIs(t, err, sse.ErrTooLarge)
	}
}

// Events that are read, written and read again are equal, for any input.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\nevent: e\ndata: a\ndata: b\n\n: ping\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: a\rdata\r\n\r\nid:\x00\ndata\n\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		events, _ := readAll(bytes.NewReader(text))
		var written []byte
		for _, event := range events {
			written = sse.Append(written, event)
		}
		again, err := readAll(bytes.NewReader(written))
		must.ErrorIs(t, err, io.EOF)
		must.Eq(t, events, again)
	})
}
