package callerhttp

import (
	"encoding/json"
	"net/http"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/membership"
)

// EntryKeep is how long callers may keep the answer of /v1/entry.
const EntryKeep = 30 * time.Second

// EntryAnswer is the answer of /v1/entry.
type EntryAnswer struct {
	// Addresses are ip:port of entry hosts, best first.
	Addresses []EntryAddress `json:"addresses"`
	// KeepSeconds is how long the answer may be used.
	KeepSeconds int `json:"keep_seconds"`
}

// EntryAddress is one entry host.
type EntryAddress struct {
	Address    string           `json:"address"`
	DataCentre fleet.DataCentre `json:"datacentre"`
}

// entry answers which hosts a caller should use. The query holds chat, and datacentre
// when it is not the one of the asked host.
func (s *Server) entry(w http.ResponseWriter, r *http.Request) {
	if _, refusal := s.authenticate(r); refusal != nil {
		WriteRefusal(w, refusal)
		return
	}
	near := fleet.DataCentre(r.URL.Query().Get("datacentre"))
	if near == "" {
		near = s.Members.Self().DataCentre
	}
	answer := EntryAnswer{KeepSeconds: int(EntryKeep.Seconds()), Addresses: []EntryAddress{}}
	routers := membership.ExcludeOutOfService(s.Members.Routers(), s.Config.Current().IsOut)
	for _, host := range membership.EntryOrder(r.URL.Query().Get("chat"), near, routers) {
		answer.Addresses = append(answer.Addresses, EntryAddress{Address: host.HTTPAddress, DataCentre: host.DataCentre})
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}
