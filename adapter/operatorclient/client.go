// Package operatorclient is a client of a router's operator API.
package operatorclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"agateswitch/adapter/operatorhttp"
	"agateswitch/core/configuration"

	"github.com/dghubble/sling"
	"github.com/juju/errors"
)

// pollInterval is the delay between two status requests while waiting for a revision.
const pollInterval = 50 * time.Millisecond

// Client sends requests to one router. It is safe for concurrent use.
type Client struct {
	base *sling.Sling
}

// New returns a client of the router at address (ip:port).
func New(address, token string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	base := sling.New().Base("http://"+address).Set("Authorization", "Bearer "+token)
	return &Client{base: base.Client(&http.Client{Transport: transport})}
}

// FailureError is returned when the router refused a request.
type FailureError struct {
	Status int
	operatorhttp.Failure
}

// Error implements error. The text lists every problem.
func (e *FailureError) Error() string {
	lines := []string{fmt.Sprintf("%s: %s", e.Code, e.Message)}
	for _, problem := range e.Problems {
		lines = append(lines, "  "+problem.String())
	}
	if e.Found != nil {
		lines = append(lines, fmt.Sprintf("  now at revision %d: %s", e.Found.Revision, e.Found.Value))
	}
	return strings.Join(lines, "\n")
}

// Do sends a call and decodes its answer into a value.
func (c *Client) Do(ctx context.Context, call *sling.Sling, into any) error {
	request, err := call.Request()
	if err != nil {
		return errors.Trace(err)
	}
	var failure operatorhttp.Failure
	answer, err := c.base.Do(request.WithContext(ctx), into, &failure)
	if err != nil {
		return errors.Annotate(err, "calling the router")
	}
	if answer.StatusCode >= http.StatusBadRequest {
		return &FailureError{Status: answer.StatusCode, Failure: failure}
	}
	return nil
}

// itemPath returns the path of an item.
func itemPath(key configuration.Key) string {
	return operatorhttp.PathConfig + "/" + string(key.Kind) + "/" + url.PathEscape(key.Name)
}

// ChangeOptions are the options of a change.
type ChangeOptions struct {
	// DryRun validates the change without making it.
	DryRun bool
	// Expected is the item's revision that the operator read; nil skips the check.
	Expected *configuration.Revision
}

// query returns the options as a query string.
func (o ChangeOptions) query() string {
	values := url.Values{}
	if o.DryRun {
		values.Set(operatorhttp.ParamDryRun, "true")
	}
	if o.Expected != nil {
		values.Set(operatorhttp.ParamExpected, fmt.Sprint(*o.Expected))
	}
	return "?" + values.Encode()
}

// Put creates or changes one item.
func (c *Client) Put(ctx context.Context, key configuration.Key, value json.RawMessage, options ChangeOptions) (operatorhttp.PutAnswer, error) {
	var accepted operatorhttp.PutAnswer
	call := c.base.New().Put(itemPath(key) + options.query()).Body(bytes.NewReader(value))
	return accepted, c.Do(ctx, call, &accepted)
}

// Delete removes one item.
func (c *Client) Delete(ctx context.Context, key configuration.Key, options ChangeOptions) (operatorhttp.PutAnswer, error) {
	var accepted operatorhttp.PutAnswer
	return accepted, c.Do(ctx, c.base.New().Delete(itemPath(key)+options.query()), &accepted)
}

// Get reads one item.
func (c *Client) Get(ctx context.Context, key configuration.Key) (configuration.Item, error) {
	var item configuration.Item
	return item, c.Do(ctx, c.base.New().Get(itemPath(key)), &item)
}

// List reads the items of a kind.
func (c *Client) List(ctx context.Context, kind configuration.Kind) (operatorhttp.ListAnswer, error) {
	var list operatorhttp.ListAnswer
	return list, c.Do(ctx, c.base.New().Get(operatorhttp.PathConfig+"/"+string(kind)), &list)
}

// Status reads the router's own entry, its revision in force and its list of routers.
func (c *Client) Status(ctx context.Context) (operatorhttp.Status, error) {
	var status operatorhttp.Status
	return status, c.Do(ctx, c.base.New().Get(operatorhttp.PathStatus), &status)
}

// Explain reads on which upstream a chat would run now, and why.
func (c *Client) Explain(ctx context.Context, team, pool, chat string) (operatorhttp.ExplainAnswer, error) {
	query := url.Values{"team": {team}, "pool": {pool}, "chat": {chat}}
	var explained operatorhttp.ExplainAnswer
	return explained, c.Do(ctx, c.base.New().Get(operatorhttp.PathExplain+"?"+query.Encode()), &explained)
}

// WaitFor waits until the router has a revision in force.
func (c *Client) WaitFor(ctx context.Context, revision configuration.Revision) error {
	for {
		status, err := c.Status(ctx)
		if err != nil {
			return err
		}
		if status.Revision >= revision {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
