package quarantine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"agateswitch/core/quarantine"
)

// Path is the path at which routers list the parts that are held back. DELETE of a part below it releases the part.
const Path = "/quarantine"

// Listed is a part in the operators' list.
type Listed struct {
	quarantine.Hold
	// NextTrial is when the part is tried, if hardly any engines end then. It is zero while the part is on trial.
	NextTrial time.Time `json:"next_trial,omitzero"`
}

// list returns the parts that are held back or on trial.
func (s *Service) list() []Listed {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, all := time.Now(), []Listed{}
	for _, h := range s.holds {
		switch {
		case h.IsOnTrial(now):
			all = append(all, Listed{Hold: h.Hold})
		case h.InForce(now):
			all = append(all, Listed{Hold: h.Hold, NextTrial: s.nextTrial(h)})
		}
	}
	return all
}

// ServeHTTP serves the operators' list.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	part := quarantine.Part(strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, Path), "/"))
	switch {
	case r.Method == http.MethodGet && part == "":
		s.serveList(w)
	case r.Method == http.MethodDelete && part != "":
		if !s.Release(part) {
			http.Error(w, "no such part is held back", http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	default:
		http.Error(w, "only GET of the list and DELETE of a part are supported", http.StatusMethodNotAllowed)
	}
}

func (s *Service) serveList(w http.ResponseWriter) {
	holds := s.list()
	slices.SortFunc(holds, func(a, b Listed) int { return a.Since.Compare(b.Since) })
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(holds); err != nil {
		s.log.Debug("failed to send the list of the quarantine", "err", err)
	}
}
