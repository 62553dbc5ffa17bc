package callerhttp

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/google/uuid"
)

// requestIDKey is the context key of the request's id.
type requestIDKey struct{}

// withRequestID assigns an id to each request and returns it to the caller in a header.
func withRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := fleet.RequestID(uuid.Must(uuid.NewV7()).String())
		w.Header().Set(port.HeaderRequestID, string(id))
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)))
	})
}

func requestID(r *http.Request) fleet.RequestID {
	id, _ := r.Context().Value(requestIDKey{}).(fleet.RequestID)
	return id
}

// startingRetryAfter is the Retry-After of refusals by a router without a configuration.
const startingRetryAfter = time.Second

// authenticate returns the contract of the team that the bearer key belongs to.
func (s *Server) authenticate(r *http.Request) (configuration.Contract, *fleet.Refusal) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return configuration.Contract{}, fleet.Refuse(fleet.CodeUnauthorized, "a bearer key is needed", 0)
	}
	sum := sha256.Sum256([]byte(key))
	digest := hex.EncodeToString(sum[:])
	snapshot := s.Config.Current()
	if snapshot.Revision() == 0 {
		return configuration.Contract{}, fleet.Refuse(fleet.CodeStarting, "no configuration is in force here yet", startingRetryAfter)
	}
	// The lookup by digest is not in constant time, but a matching prefix of a digest reveals
	// nothing about a key. The digests are then compared in constant time.
	team, _ := snapshot.TeamByDigest(digest)
	contract, _ := snapshot.Contract(team)
	for _, known := range contract.KeyDigests {
		if subtle.ConstantTimeCompare([]byte(known), []byte(digest)) == 1 {
			return contract, nil
		}
	}
	return configuration.Contract{}, fleet.Refuse(fleet.CodeUnauthorized, "the bearer key is not known", 0)
}

// authorize refuses a pool that the contract does not include.
func authorize(contract configuration.Contract, pool fleet.PoolID) *fleet.Refusal {
	if slices.Contains(contract.Pools, pool) {
		return nil
	}
	return fleet.Refuse(fleet.CodeForbidden, "the team's contract does not name pool "+string(pool), 0)
}
