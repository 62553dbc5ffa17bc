package kv

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
)

var errTooLarge = errors.New("response is larger than the limit")

// messageReader reads a stream of messages, none of them above a limit. Next allows the
// next message.
type messageReader struct {
	from io.Reader
	left int64
}

// Next starts a message. What a decoder read ahead counts to the earlier one.
func (r *messageReader) Next() { r.left = MaxResponseBytes }

// Read implements io.Reader.
func (r *messageReader) Read(buffer []byte) (int, error) {
	if r.left <= 0 {
		return 0, errTooLarge
	}
	if int64(len(buffer)) > r.left {
		buffer = buffer[:r.left]
	}
	n, err := r.from.Read(buffer)
	r.left -= int64(n)
	return n, err
}

// limitedDecoder decodes a JSON response of limited size. It is a sling.ResponseDecoder.
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
