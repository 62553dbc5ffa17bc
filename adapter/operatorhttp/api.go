// Package operatorhttp serves operators: configuration items, status and explanations.
package operatorhttp

import (
	"encoding/json"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
)

// Paths of the operators' interface.
const (
	PathConfig  = "/operator/v1/config"
	PathStatus  = "/operator/v1/status"
	PathExplain = "/operator/v1/explain"
)

// ParamDryRun is the query parameter that validates a change without accepting it.
const ParamDryRun = "dry_run"

// ParamExpected is the query parameter with the item revision that the operator saw.
const ParamExpected = "expected"

// PutAnswer is the answer to a change.
type PutAnswer struct {
	// Revision at which the change was accepted; 0 for a dry run.
	Revision configuration.Revision `json:"revision"`
	// Before is the item in force before the change, if any.
	Before *configuration.Item `json:"before,omitempty"`
}

// Failure is the answer to a change that was not accepted.
type Failure struct {
	Code    fleet.Code `json:"code"`
	Message string     `json:"message"`
	// Unknown is true when the change may have been accepted nevertheless.
	Unknown  bool                    `json:"unknown,omitempty"`
	Problems []configuration.Problem `json:"problems,omitempty"`
	// Found is the item in place of the one that the operator saw.
	Found *configuration.Item `json:"found,omitempty"`
	// RetryAfterSeconds tells when to come back; 0 when that does not help.
	RetryAfterSeconds float64 `json:"retry_after,omitempty"`
}

// ListAnswer holds the items of a kind.
type ListAnswer struct {
	Revision configuration.Revision `json:"revision"`
	Items    []configuration.Item   `json:"items"`
}

// Status is what one router tells about itself and the fleet.
type Status struct {
	Host     fleet.Host             `json:"host"`
	Revision configuration.Revision `json:"revision"`
	Routers  []fleet.Host           `json:"routers"`
}

// ExplainAnswer tells where a chat would run.
type ExplainAnswer struct {
	Lines []string `json:"lines"`
}

func encode(value any) []byte {
	body, _ := json.Marshal(value)
	return append(body, '\n')
}
