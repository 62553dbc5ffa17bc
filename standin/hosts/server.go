// Package hosts is a small stand-in for the platform's host list, in the format of Prometheus HTTP
// service discovery.
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

// PathRegister is the path to change the list: PUT adds or replaces a target group, DELETE removes
// the group named by the query parameter id.
const PathRegister = "/standin/hosts"

// Server serves the host list. It is an http.Handler.
type Server struct {
	mu     sync.Mutex
	groups []hostlist.TargetGroup
	mux    *http.ServeMux
}

// New returns a server with an empty list.
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

// Remove removes the group with an id, if there is one.
func (s *Server) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups = s.without(id)
}

// without returns the groups except the one with an id. The caller holds s.mu.
func (s *Server) without(id string) []hostlist.TargetGroup {
	return slices.DeleteFunc(slices.Clone(s.groups), func(group hostlist.TargetGroup) bool {
		return group.Labels[hostlist.LabelID] == id
	})
}

// list sends the list, or status 304 if the client has the current version by its ETag.
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
