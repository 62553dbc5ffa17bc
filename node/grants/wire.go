package grants

import (
	"strings"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"
	"agateswitch/core/placement"
)

// Methods of the peer protocol. They are short, as each call carries one.
const (
	methodAcquire  = "g.a"
	methodEnd      = "g.e"
	methodAnnounce = "g.h"
	methodBudget   = "g.b"
	methodExplain  = "g.x"
)

// acquireMessage asks a shard's owner for a grant.
type acquireMessage struct {
	Pool string `msgpack:"p"`
	// Home is the first upstream in the chat's order; it names the shard.
	Home    string   `msgpack:"h"`
	Nonce   uint64   `msgpack:"n"`
	Chat    uint64   `msgpack:"c"`
	Team    string   `msgpack:"t"`
	Version string   `msgpack:"v,omitempty"`
	Prefill int64    `msgpack:"f"`
	Decode  int64    `msgpack:"d"`
	Exclude []string `msgpack:"x,omitempty"`
	// Left is the time until the first token is due, in milliseconds; zero means no deadline.
	Left int64 `msgpack:"l,omitempty"`
	// Ended carries completions for the same owner.
	Ended []endedMessage `msgpack:"e,omitempty"`
}

// acquireReply grants, refuses, or says that the request waits.
type acquireReply struct {
	Waiting bool `msgpack:"w,omitempty"`
	// Grant is the grant's id without the owner's name.
	Grant string `msgpack:"g,omitempty"`
	// Upstream is empty for the home that the question named.
	Upstream string `msgpack:"u,omitempty"`
	Work     int64  `msgpack:"k,omitempty"`
	// Reason is an index of reasons.
	Reason  uint8           `msgpack:"r,omitempty"`
	Load    int64           `msgpack:"l,omitempty"`
	Bound   int64           `msgpack:"b,omitempty"`
	Warm    bool            `msgpack:"m,omitempty"`
	Refusal *refusalMessage `msgpack:"x,omitempty"`
}

type refusalMessage struct {
	Code    string `msgpack:"c"`
	Message string `msgpack:"m"`
	// RetryAfter is in milliseconds.
	RetryAfter int64 `msgpack:"r"`
}

// endedMessage is the end of one grant.
type endedMessage struct {
	// Grant is the grant's id, without the owner's name where the receiver is the owner.
	Grant   string `msgpack:"g"`
	Outcome uint8  `msgpack:"o"`
	// FirstToken is in milliseconds.
	FirstToken int64 `msgpack:"f,omitempty"`
	Decoded    int64 `msgpack:"d,omitempty"`
	// Age is how long ago the request ended, in milliseconds.
	Age int64 `msgpack:"a,omitempty"`
	// ended is when the request ended by this router's clock. It is not sent.
	ended time.Time
}

// aged returns the messages as they are sent at a time.
func aged(now time.Time, messages []endedMessage) []endedMessage {
	sent := append([]endedMessage(nil), messages...)
	for i := range sent {
		sent[i].Age = now.Sub(sent[i].ended).Milliseconds()
	}
	return sent
}

// endMessage carries completions and abandoned questions to an owner.
type endMessage struct {
	Ended     []endedMessage `msgpack:"e,omitempty"`
	Abandoned []uint64       `msgpack:"a,omitempty"`
}

// announceMessage tells the owner of a shard which grants a router holds in it.
type announceMessage struct {
	Pool string        `msgpack:"p"`
	Home string        `msgpack:"h"`
	Held []heldMessage `msgpack:"g"`
}

type heldMessage struct {
	Grant    string `msgpack:"g"`
	Upstream string `msgpack:"u"`
	Work     int64  `msgpack:"k"`
}

// budgetMessage draws from the budgets of one or more teams with the same budget owner.
type budgetMessage struct {
	Asks []askMessage `msgpack:"a"`
}

type askMessage struct {
	Team     string `msgpack:"t"`
	Tokens   int    `msgpack:"k,omitempty"`
	Returned int    `msgpack:"b,omitempty"`
	Running  int    `msgpack:"r,omitempty"`
	Slots    int    `msgpack:"s,omitempty"`
}

type budgetReply struct {
	Lent []lentMessage `msgpack:"l"`
}

type lentMessage struct {
	Tokens int `msgpack:"k,omitempty"`
	Slots  int `msgpack:"s,omitempty"`
	// Interval and RetryAfter are in milliseconds.
	Interval   int64 `msgpack:"i"`
	RetryAfter int64 `msgpack:"r,omitempty"`
}

type explainReply struct {
	Lines []string `msgpack:"l"`
}

// empty is the reply that carries nothing.
type empty struct{}

// outcomes gives each outcome its number on the wire. Numbers are never reused.
var outcomes = []fleet.Outcome{fleet.OutcomeComplete, fleet.OutcomeFailed, fleet.OutcomeCancelled, fleet.OutcomeUnsent}

func encodeEnd(now time.Time, owner fleet.HostID, completion fleet.Completion) endedMessage {
	message := endedMessage{
		ended: now, Grant: shortGrant(completion.Grant, owner), FirstToken: completion.FirstToken.Milliseconds(), Decoded: int64(completion.Decoded),
	}
	for number, outcome := range outcomes {
		if outcome == completion.Outcome {
			message.Outcome = uint8(number)
		}
	}
	return message
}

func (m endedMessage) decode(owner fleet.HostID) fleet.Completion {
	completion := fleet.Completion{
		Grant: fullGrant(m.Grant, owner), FirstToken: milliseconds(m.FirstToken), Decoded: fleet.Work(m.Decoded),
		Age: milliseconds(max(0, m.Age)),
		// An outcome that this version does not know teaches nothing about the upstream.
		Outcome: fleet.OutcomeCancelled,
	}
	if int(m.Outcome) < len(outcomes) {
		completion.Outcome = outcomes[m.Outcome]
	}
	return completion
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// reasons gives each reason its number on the wire. Numbers are never reused.
var reasons = []fleet.Reason{fleet.ReasonHome, fleet.ReasonDisplaced, fleet.ReasonOverflow, fleet.ReasonRetry}

func encodeReason(reason fleet.Reason) uint8 {
	for number, known := range reasons {
		if known == reason {
			return uint8(number)
		}
	}
	return 0
}

func decodeReason(number uint8) fleet.Reason {
	if int(number) < len(reasons) {
		return reasons[number]
	}
	return fleet.ReasonHome
}

// shortGrant leaves the owner's name out of an id. An id of another owner stays as it is.
func shortGrant(id fleet.GrantID, owner fleet.HostID) string {
	text := string(id)
	if strings.HasPrefix(text, string(owner)+"-") {
		return text[len(owner):]
	}
	return text
}

// fullGrant is the reverse of shortGrant. Names of hosts do not start with a hyphen.
func fullGrant(text string, owner fleet.HostID) fleet.GrantID {
	if strings.HasPrefix(text, "-") {
		return fleet.GrantID(string(owner) + text)
	}
	return fleet.GrantID(text)
}

// epochOf returns the epoch in a short grant. It changes when the owner has lost its state.
func epochOf(short string) string {
	epoch, _, _ := strings.Cut(strings.TrimPrefix(short, "-"), "-")
	return epoch
}

func encodeDecision(decision placement.Decision, home string) acquireReply {
	if decision.Waiting {
		return acquireReply{Waiting: true}
	}
	if decision.Refusal != nil {
		return refuseReply(decision.Refusal)
	}
	grant := decision.Grant
	reply := acquireReply{
		Grant: shortGrant(grant.ID, grant.Owner), Work: int64(grant.Work), Reason: encodeReason(grant.Reason),
		Load: int64(grant.Load), Bound: int64(grant.Bound), Warm: grant.Warm,
	}
	if string(grant.Upstream.ID) != home {
		reply.Upstream = string(grant.Upstream.ID)
	}
	return reply
}

func refuseReply(refusal *fleet.Refusal) acquireReply {
	return acquireReply{Refusal: &refusalMessage{
		Code: string(refusal.Code), Message: refusal.Message, RetryAfter: refusal.RetryAfter.Milliseconds(),
	}}
}

func (m *refusalMessage) decode() *fleet.Refusal {
	return fleet.Refuse(fleet.Code(m.Code), m.Message, milliseconds(m.RetryAfter))
}

func (m askMessage) decode(from fleet.HostID) admission.DrawRequest {
	return admission.DrawRequest{From: from, Tokens: m.Tokens, Returned: m.Returned, Running: m.Running, Slots: m.Slots}
}

func encodeAsk(team fleet.Team, ask admission.DrawRequest) askMessage {
	return askMessage{Team: string(team), Tokens: ask.Tokens, Returned: ask.Returned, Running: ask.Running, Slots: ask.Slots}
}

func encodeLent(lent admission.Loan) lentMessage {
	return lentMessage{
		Tokens: lent.Tokens, Slots: lent.Slots,
		Interval: lent.Interval.Milliseconds(), RetryAfter: lent.RetryAfter.Milliseconds(),
	}
}

func (m lentMessage) decode() admission.Loan {
	return admission.Loan{Tokens: m.Tokens, Slots: m.Slots, Interval: milliseconds(m.Interval), RetryAfter: milliseconds(m.RetryAfter)}
}
