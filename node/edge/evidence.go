package edge

import (
	"encoding/json"
	"net/http"

	"agateswitch/core/evidence"
)

// EvidencePath is the path at which routers list what they believe and what they have that from, as a JSON array of
// evidence.Belief.
const EvidencePath = "/evidence"

// serveEvidence returns the handler of EvidencePath.
func serveEvidence(sources ...func() []evidence.Belief) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			http.Error(w, "only GET is supported", http.StatusMethodNotAllowed)
			return
		}
		beliefs := []evidence.Belief{}
		for _, source := range sources {
			beliefs = append(beliefs, source()...)
		}
		evidence.Sort(beliefs)
		w.Header().Set("Content-Type", "application/json")
		// An error here means that the operator has gone.
		_ = json.NewEncoder(w).Encode(beliefs)
	})
}
