package harness

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// Answer is what a caller has received.
type Answer struct {
	// Status is 0 if there was no answer.
	Status    int
	Signature string
	Body      string
	// Complete is true if the body has ended as it should.
	Complete bool
}

// Send sends a request of the case's only tenant over a connection of its own, and waits for the answer.
func Send(ctx context.Context, to *Router, method, path string, header map[string]string, body string) Answer {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.Callers+path, strings.NewReader(body))
	check(err)
	request.Host = Host
	request.Header.Set("X-Api-Key", Key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 10 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return Answer{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Signature: response.Header.Get("Engine-Signature"), Body: string(text), Complete: err == nil}
}

// Host and Key are the name and the key that callers use.
const (
	Host = "farrier.example"
	Key  = "key-of-tenant-one"
)

// Desired returns a desired state with some routes, whose service is farrier-lm.
func Desired(routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": 1, "routes": routes,
		"services": []any{map[string]any{"name": "farrier-lm", "cold_start_s": 3, "cold_per_s": 12, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 345666}}},
		"limits":   map[string]any{"max_header_bytes": 65536, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
		"tenants":  []any{map[string]any{"name": "tenant-one", "api_keys": []string{Key}}},
	}
}
