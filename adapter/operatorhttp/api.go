// Package operatorhttp serves operators over HTTP: configuration items, data centres, version moves,
// orders to engines, status and explanations of placements.
package operatorhttp

import (
	"encoding/json"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
)

// Paths of the operators' API.
const (
	PathConfig  = "/operator/v1/config"
	PathStatus  = "/operator/v1/status"
	PathExplain = "/operator/v1/explain"
)

// ParamDryRun is the query parameter for validating a change without making it.
const ParamDryRun = "dry_run"

// ParamExpected is the query parameter with the item's revision that the operator read.
const ParamExpected = "expected"

// PutAnswer is the answer to a change.
type PutAnswer struct {
	// Revision is the revision at which the change was accepted; 0 for a dry run.
	Revision configuration.Revision `json:"revision"`
	// Before is the item in force before the change. It is nil if there was none.
	Before *configuration.Item `json:"before,omitempty"`
}

// Failure is the answer to a request that failed or was refused.
type Failure struct {
	Code    fleet.Code `json:"code"`
	Message string     `json:"message"`
	// Unknown is true when it is unknown whether the change was accepted.
	Unknown  bool                    `json:"unknown,omitempty"`
	Problems []configuration.Problem `json:"problems,omitempty"`
	// Found is the stored item when its revision differs from the expected one.
	Found *configuration.Item `json:"found,omitempty"`
	// RetryAfterSeconds is how long to wait before a retry; 0 when a retry does not help.
	RetryAfterSeconds float64 `json:"retry_after,omitempty"`
}

// ListAnswer holds all items of a kind.
type ListAnswer struct {
	Revision configuration.Revision `json:"revision"`
	Items    []configuration.Item   `json:"items"`
}

// Status is a router's host entry, its revision in force, and the routers in its host list.
type Status struct {
	Host     fleet.Host             `json:"host"`
	Revision configuration.Revision `json:"revision"`
	Routers  []fleet.Host           `json:"routers"`
}

// ExplainAnswer explains on which upstream a chat would run.
type ExplainAnswer struct {
	Lines []string `json:"lines"`
}

// encode returns a value as a line of JSON.
func encode(value any) []byte {
	body, _ := json.Marshal(value)
	return append(body, '\n')
}
