package quarantine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"agateswitch/core/quarantine"
)

// Path is the path at which routers list the parts that are held back. DELETE of a part below it releases the part.
const Path = "/quarantine"

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
	holds := s.Holds()
	slices.SortFunc(holds, func(a, b quarantine.Hold) int { return a.Since.Compare(b.Since) })
	if holds == nil {
		holds = []quarantine.Hold{}
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(holds); err != nil {
		s.log.Debug("failed to send the list of the quarantine", "err", err)
	}
}
