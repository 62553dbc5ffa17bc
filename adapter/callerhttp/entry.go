package callerhttp

import (
	"encoding/json"
	"net/http"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/membership"
)

// EntryTTL is how long callers may cache the answer of /v1/entry.
const EntryTTL = 30 * time.Second

// EntryAnswer is the answer of /v1/entry.
type EntryAnswer struct {
	// Addresses lists the entry hosts, in the order in which a caller should try them.
	Addresses []EntryAddress `json:"addresses"`
	// KeepSeconds is how long the answer may be cached, in seconds.
	KeepSeconds int `json:"keep_seconds"`
}

// EntryAddress is one entry host.
type EntryAddress struct {
	// Address is ip:port.
	Address    string           `json:"address"`
	DataCentre fleet.DataCentre `json:"datacentre"`
}

// entry returns the entry hosts that a caller should use. The query parameters are chat and
// datacentre, the caller's data centre; it defaults to that of this host.
func (s *Server) entry(w http.ResponseWriter, r *http.Request) {
	if _, refusal := s.authenticate(r); refusal != nil {
		WriteRefusal(w, refusal)
		return
	}
	near := fleet.DataCentre(r.URL.Query().Get("datacentre"))
	if near == "" {
		near = s.Members.Self().DataCentre
	}
	answer := EntryAnswer{KeepSeconds: int(EntryTTL.Seconds()), Addresses: []EntryAddress{}}
	routers := membership.ExcludeOutOfService(s.Members.Routers(), s.Config.Current().IsOut)
	for _, host := range membership.EntryOrder(r.URL.Query().Get("chat"), near, routers) {
		answer.Addresses = append(answer.Addresses, EntryAddress{Address: host.HTTPAddress, DataCentre: host.DataCentre})
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}
