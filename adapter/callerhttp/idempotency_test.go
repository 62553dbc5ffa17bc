package callerhttp_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"agateswitch/adapter/callerhttp"
	"agateswitch/core/configuration"

	"github.com/shoenig/test/must"
)

// A router without a configuration reports a call as not run only if the call cannot be a resend.
func TestStartingRouterReportsResendsAsUnknown(t *testing.T) {
	server := &callerhttp.Server{Config: fakePorts{snapshot: configuration.Empty()}}
	for key, notRun := range map[string]string{"": "true", "01a23aea-dc00-7000-8000-000000000001": "unknown"} {
		request := httptest.NewRequest(http.MethodPost, "/rounds/bookings", nil)
		request.Header.Set("Authorization", "Bearer "+bearer)
		if key != "" {
			request.Header.Set(callerhttp.HeaderIdempotencyKey, key)
		}
		answer := httptest.NewRecorder()
		server.Handler().ServeHTTP(answer, request)
		must.Eq(t, http.StatusServiceUnavailable, answer.Code)
		var body callerhttp.ErrorBody
		must.NoError(t, json.Unmarshal(answer.Body.Bytes(), &body))
		must.Eq(t, notRun, body.Error.NotRun)
	}
}
