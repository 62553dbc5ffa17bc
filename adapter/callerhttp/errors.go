package callerhttp

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"agateswitch/core/fleet"
)

// ErrorBody is the JSON form of a refusal, in answers and in error events.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes why a request was refused and whether it ran.
type ErrorDetail struct {
	Code    fleet.Code `json:"code"`
	Message string     `json:"message"`
	// NotRun is "true", "false" or "unknown".
	NotRun string `json:"not_run"`
	// RetryAfter is in seconds. It is omitted when retrying does not help.
	RetryAfter float64 `json:"retry_after,omitempty"`
}

// EncodeRefusal returns the JSON form of a refusal.
func EncodeRefusal(refusal *fleet.Refusal) []byte {
	notRun := map[fleet.Ran]string{fleet.NotRun: "true", fleet.DidRun: "false"}[refusal.Ran]
	if notRun == "" {
		notRun = "unknown"
	}
	body, _ := json.Marshal(ErrorBody{Error: ErrorDetail{
		Code: refusal.Code, Message: refusal.Message, NotRun: notRun, RetryAfter: refusal.RetryAfter.Seconds(),
	}})
	return body
}

var statusOfCode = map[fleet.Code]int{
	fleet.CodeUnauthorized:     http.StatusUnauthorized,
	fleet.CodeForbidden:        http.StatusForbidden,
	fleet.CodeBadRequest:       http.StatusBadRequest,
	fleet.CodeTooLarge:         http.StatusRequestEntityTooLarge,
	fleet.CodeNotFound:         http.StatusNotFound,
	fleet.CodeRateLimited:      http.StatusTooManyRequests,
	fleet.CodeOverloaded:       http.StatusServiceUnavailable,
	fleet.CodeNoUpstream:       http.StatusServiceUnavailable,
	fleet.CodeDeadline:         http.StatusServiceUnavailable,
	fleet.CodeUpstreamFailed:   http.StatusBadGateway,
	fleet.CodeOutcomeUnknown:   http.StatusBadGateway,
	fleet.CodeInProgress:       http.StatusConflict,
	fleet.CodeKeyReused:        http.StatusUnprocessableEntity,
	fleet.CodeKeyMissing:       http.StatusBadRequest,
	fleet.CodeStoreDown:        http.StatusServiceUnavailable,
	fleet.CodeAnswerOmitted:    http.StatusGone,
	fleet.CodeConflict:         http.StatusConflict,
	fleet.CodeInvalid:          http.StatusUnprocessableEntity,
	fleet.CodeStarting:         http.StatusServiceUnavailable,
	fleet.CodeLeaving:          http.StatusServiceUnavailable,
	fleet.CodeResumeImpossible: http.StatusGone,
	fleet.CodeInternal:         http.StatusInternalServerError,
}

// WriteRefusal answers a request with a refusal.
func WriteRefusal(w http.ResponseWriter, refusal *fleet.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	if refusal.RetryAfter > 0 {
		seconds := int(math.Ceil(refusal.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	if refusal.Code == fleet.CodeUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	status, found := statusOfCode[refusal.Code]
	if !found {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	w.Write(EncodeRefusal(refusal))
}
