package callerhttp

import (
	"io"
	"net/http"
	"time"
)

// serviceBody streams a caller's body within its limits of size and time.
type serviceBody struct {
	source     io.Reader
	controller *http.ResponseController
	end        time.Time
}

func newServiceBody(w http.ResponseWriter, r *http.Request) io.Reader {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	return &serviceBody{
		source:     http.MaxBytesReader(w, r.Body, MaxServiceBodyBytes),
		controller: http.NewResponseController(w),
		end:        time.Now().Add(ServiceBodyTimeout),
	}
}

// Read implements io.Reader.
func (b *serviceBody) Read(buffer []byte) (int, error) {
	limit := time.Now().Add(ServiceBodyIdle)
	if limit.After(b.end) {
		limit = b.end
	}
	b.controller.SetReadDeadline(limit)
	n, err := b.source.Read(buffer)
	if err == io.EOF {
		b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}
