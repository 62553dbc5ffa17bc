package kv

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
)

var errTooLarge = errors.New("response is larger than the limit")

// messageReader reads a stream of messages of at most MaxResponseBytes each. Next resets the limit
// for the next message.
type messageReader struct {
	from      io.Reader
	remaining int64
}

// Next starts a message. Bytes that a decoder has read ahead count towards the previous one.
func (r *messageReader) Next() { r.remaining = MaxResponseBytes }

// Read implements io.Reader.
func (r *messageReader) Read(buffer []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errTooLarge
	}
	if int64(len(buffer)) > r.remaining {
		buffer = buffer[:r.remaining]
	}
	n, err := r.from.Read(buffer)
	r.remaining -= int64(n)
	return n, err
}

// limitedDecoder decodes JSON responses of at most MaxResponseBytes.
type limitedDecoder struct{}

// Decode implements sling.ResponseDecoder.
func (limitedDecoder) Decode(response *http.Response, into any) error {
	return decodeResponse(response.Body, into)
}

func decodeResponse(body io.Reader, into any) error {
	limited := &messageReader{from: body}
	limited.Next()
	return errors.Annotate(json.NewDecoder(limited).Decode(into), "decoding a response")
}
