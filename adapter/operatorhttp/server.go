package operatorhttp

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/node/configsync"
	"agateswitch/port"
)

// maxValueBytes is the maximum size of a request body.
const maxValueBytes = 256 << 10

// Server serves operators. All fields are required.
type Server struct {
	// Token is the secret that authenticates an operator.
	Token   string
	Config  *configsync.Service
	Members port.Members
	Placer  port.Placer
}

// Handler returns the routes for configuration, the fleet, status and explanations. They require
// the operator token.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathConfig+"/{kind}", s.list)
	mux.HandleFunc("GET "+PathConfig+"/{kind}/{name}", s.get)
	mux.HandleFunc("PUT "+PathConfig+"/{kind}/{name}", s.put)
	mux.HandleFunc("DELETE "+PathConfig+"/{kind}/{name}", s.remove)
	mux.HandleFunc("PUT "+PathDataCentre+"/{name}", s.setDataCentre)
	mux.HandleFunc("GET "+PathFleet, s.fleet)
	mux.HandleFunc("GET "+PathInForce, s.inForce)
	mux.HandleFunc("GET "+PathStatus, s.status)
	mux.HandleFunc("GET "+PathExplain, s.explain)
	return s.authenticated(mux)
}

// authenticated wraps a handler so that it requires the operator token. It compares hashes of equal
// length, so that the time does not depend on the token.
func (s *Server) authenticated(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(s.Token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !found {
			fail(w, http.StatusUnauthorized, Failure{Code: fleet.CodeUnauthorized, Message: "the operator token is needed"})
			return
		}
		got := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			fail(w, http.StatusForbidden, Failure{Code: fleet.CodeForbidden, Message: "the operator token is wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func fail(w http.ResponseWriter, status int, failure Failure) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(encode(failure))
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.Write(encode(value))
}

// itemKey returns the item's key from the path.
func itemKey(r *http.Request) configuration.Key {
	return configuration.Key{Kind: configuration.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	snapshot := s.Config.Current()
	items := snapshot.Items(configuration.Kind(r.PathValue("kind")))
	answer(w, ListAnswer{Revision: snapshot.Revision(), Items: items})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	item, found := s.Config.Current().Item(itemKey(r))
	if !found {
		fail(w, http.StatusNotFound, Failure{Code: fleet.CodeNotFound, Message: itemKey(r).String() + " does not exist"})
		return
	}
	answer(w, item)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	if refuseMoveItem(w, r) {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		fail(w, http.StatusRequestEntityTooLarge, Failure{Code: fleet.CodeTooLarge, Message: "the value is too large"})
		return
	}
	if !json.Valid(value) {
		fail(w, http.StatusBadRequest, Failure{Code: fleet.CodeBadRequest, Message: "the value is not valid JSON"})
		return
	}
	s.change(w, r, value)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	if refuseMoveItem(w, r) {
		return
	}
	s.change(w, r, nil)
}

// change writes an item, or deletes it if value is nil.
func (s *Server) change(w http.ResponseWriter, r *http.Request, value json.RawMessage) {
	expected, err := expectedRevision(r)
	if err != nil {
		fail(w, http.StatusBadRequest, Failure{Code: fleet.CodeBadRequest, Message: ParamExpected + " is not a number"})
		return
	}
	before := s.itemBefore(r)
	if r.URL.Query().Get(ParamDryRun) == "true" {
		s.dryRun(w, r, value, before)
		return
	}
	change := configsync.Change{Key: itemKey(r), Value: value, Expected: expected}
	change = s.withDataCentreRules(change, r.URL.Query().Get(ParamForce) == "true")
	result := s.Config.Accept(r.Context(), change)
	if result.Refusal != nil {
		failResult(w, result)
		return
	}
	answer(w, PutAnswer{Revision: result.Revision, Before: before})
}

// expectedRevision returns the item's revision that the operator read.
func expectedRevision(r *http.Request) (configuration.Revision, error) {
	text := r.URL.Query().Get(ParamExpected)
	if text == "" {
		return configsync.AnyRevision, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	return configuration.Revision(number), err
}

// itemBefore returns the item in force, or nil if it does not exist.
func (s *Server) itemBefore(r *http.Request) *configuration.Item {
	item, found := s.Config.Current().Item(itemKey(r))
	if !found {
		return nil
	}
	return &item
}

// dryRun validates a change without making it.
func (s *Server) dryRun(w http.ResponseWriter, r *http.Request, value json.RawMessage, before *configuration.Item) {
	var problems []configuration.Problem
	if value == nil {
		problems = configuration.ValidateDelete(itemKey(r), s.Config.Current())
	} else {
		problems = configuration.ValidateItem(itemKey(r), value, s.Config.Current())
	}
	if len(problems) > 0 {
		failResult(w, configsync.Result{
			Refusal: fleet.Refuse(fleet.CodeInvalid, "the change has problems", 0), Problems: problems,
		})
		return
	}
	answer(w, PutAnswer{Before: before})
}

// failResult answers a change that was not accepted, or whose outcome is unknown.
func failResult(w http.ResponseWriter, result configsync.Result) {
	status := map[fleet.Code]int{
		fleet.CodeInvalid:        http.StatusUnprocessableEntity,
		fleet.CodeConflict:       http.StatusConflict,
		fleet.CodeStoreDown:      http.StatusServiceUnavailable,
		fleet.CodeOutcomeUnknown: http.StatusGatewayTimeout,
	}[result.Refusal.Code]
	if status == 0 {
		status = http.StatusInternalServerError
	}
	fail(w, status, Failure{
		Code: result.Refusal.Code, Message: result.Refusal.Message, Problems: result.Problems,
		Unknown: result.Refusal.Ran == fleet.RanUnknown,
		Found:   result.Found, RetryAfterSeconds: result.Refusal.RetryAfter.Seconds(),
	})
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	answer(w, Status{
		Host: s.Members.Self(), Revision: s.Config.Current().Revision(), Routers: s.Members.Routers(),
	})
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	request := fleet.Request{
		Team: fleet.Team(query.Get("team")), Pool: fleet.PoolID(query.Get("pool")),
		Chat: fleet.ChatID(query.Get("team") + "/" + query.Get("chat")), Prefill: 1, Decode: 1,
	}
	lines, err := s.Placer.Explain(r.Context(), request)
	if err != nil {
		fail(w, http.StatusServiceUnavailable, Failure{Code: fleet.CodeNoUpstream, Message: err.Error()})
		return
	}
	answer(w, ExplainAnswer{Lines: lines})
}
