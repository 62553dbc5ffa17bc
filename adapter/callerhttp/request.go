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

type requestIDKey struct{}

// withRequestID gives each request an id of the router's own, and returns it to the caller.
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

// startingRetryAfter is when callers come back to a router without a configuration.
const startingRetryAfter = time.Second

// authenticate finds the contract behind the bearer key.
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
	// The table is keyed by the digest, whose prefix tells nothing about a key; the
	// digests are then compared in constant time.
	team, _ := snapshot.TeamByDigest(digest)
	contract, _ := snapshot.Contract(team)
	for _, known := range contract.KeyDigests {
		if subtle.ConstantTimeCompare([]byte(known), []byte(digest)) == 1 {
			return contract, nil
		}
	}
	return configuration.Contract{}, fleet.Refuse(fleet.CodeUnauthorized, "the bearer key is not known", 0)
}

func authorize(contract configuration.Contract, pool fleet.PoolID) *fleet.Refusal {
	if slices.Contains(contract.Pools, pool) {
		return nil
	}
	return fleet.Refuse(fleet.CodeForbidden, "the team's contract does not name pool "+string(pool), 0)
}
