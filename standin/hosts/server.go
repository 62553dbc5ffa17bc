// Package hosts is a small stand-in of the platform's host list, in the format of
// Prometheus HTTP service discovery.
package hosts

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"agateswitch/adapter/hostlist"

	"github.com/cespare/xxhash/v2"
)

// PathRegister takes one target group by PUT, and removes the group of an id by DELETE
// with the query parameter id.
const PathRegister = "/standin/hosts"

// Server is the stand-in. It is an http.Handler.
type Server struct {
	mu     sync.Mutex
	groups []hostlist.TargetGroup
	mux    *http.ServeMux
}

// New makes an empty list.
func New() *Server {
	s := &Server{groups: []hostlist.TargetGroup{}, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET "+hostlist.Path, s.list)
	s.mux.HandleFunc("PUT "+PathRegister, s.put)
	s.mux.HandleFunc("DELETE "+PathRegister, s.remove)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Put adds a group, or replaces the one with the same id.
func (s *Server) Put(group hostlist.TargetGroup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups = append(s.without(group.Labels[hostlist.LabelID]), group)
}

// Remove takes a group off the list.
func (s *Server) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups = s.without(id)
}

func (s *Server) without(id string) []hostlist.TargetGroup {
	return slices.DeleteFunc(slices.Clone(s.groups), func(group hostlist.TargetGroup) bool {
		return group.Labels[hostlist.LabelID] == id
	})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	groups := s.groups
	s.mu.Unlock()
	body, err := json.Marshal(groups)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(body)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var group hostlist.TargetGroup
	if err := json.NewDecoder(r.Body).Decode(&group); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Put(group)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.Remove(r.URL.Query().Get("id"))
	w.WriteHeader(http.StatusNoContent)
}
