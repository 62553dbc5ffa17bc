package grants

import (
	"strings"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"
	"agateswitch/core/placement"
)

// Methods of the peer protocol. They are short because each call carries one.
const (
	methodAcquire  = "g.a"
	methodEnd      = "g.e"
	methodAnnounce = "g.h"
	methodBudget   = "g.b"
	methodExplain  = "g.x"
)

// acquireMessage requests a grant from a shard's owner.
type acquireMessage struct {
	Pool string `msgpack:"p"`
	// Home is the first upstream in the chat's rendezvous order; it determines the shard.
	Home    string   `msgpack:"h"`
	Nonce   uint64   `msgpack:"n"`
	Chat    uint64   `msgpack:"c"`
	Team    string   `msgpack:"t"`
	Version string   `msgpack:"v,omitempty"`
	Prefill int64    `msgpack:"f"`
	Decode  int64    `msgpack:"d"`
	Exclude []string `msgpack:"x,omitempty"`
	// TimeLeft is the time until the deadline of the first token, in milliseconds; zero means no
	// deadline.
	TimeLeft int64 `msgpack:"l,omitempty"`
	// Completions are pending completions for the same owner.
	Completions []completionMessage `msgpack:"e,omitempty"`
}

// acquireReply carries a grant or a refusal, or reports that the request still waits.
type acquireReply struct {
	Waiting bool `msgpack:"w,omitempty"`
	// Grant is the grant's id without the owner's name.
	Grant string `msgpack:"g,omitempty"`
	// Upstream is empty if it is the request's Home.
	Upstream string `msgpack:"u,omitempty"`
	Work     int64  `msgpack:"k,omitempty"`
	// Reason is an index into reasons.
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

// completionMessage reports the end of one grant.
type completionMessage struct {
	// Grant is the grant's id, without the owner's name if the receiver is the owner.
	Grant   string `msgpack:"g"`
	Outcome uint8  `msgpack:"o"`
	// FirstToken is in milliseconds.
	FirstToken int64 `msgpack:"f,omitempty"`
	Decoded    int64 `msgpack:"d,omitempty"`
	// Age is how long ago the request ended, in milliseconds.
	Age int64 `msgpack:"a,omitempty"`
	// endedAt is when the request ended by this router's clock. It is not sent.
	endedAt time.Time
}

// withAges returns copies of the messages with Age set for sending at a time.
func withAges(now time.Time, messages []completionMessage) []completionMessage {
	sent := append([]completionMessage(nil), messages...)
	for i := range sent {
		sent[i].Age = now.Sub(sent[i].endedAt).Milliseconds()
	}
	return sent
}

// endMessage sends completions and the nonces of abandoned requests to an owner.
type endMessage struct {
	Completions []completionMessage `msgpack:"e,omitempty"`
	Abandoned   []uint64            `msgpack:"a,omitempty"`
}

// announceMessage announces to a shard's owner the grants that a router holds in the shard.
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
	Draws []drawMessage `msgpack:"a"`
}

// drawMessage is an admission.DrawRequest for one team.
type drawMessage struct {
	Team     string `msgpack:"t"`
	Tokens   int    `msgpack:"k,omitempty"`
	Returned int    `msgpack:"b,omitempty"`
	Running  int    `msgpack:"r,omitempty"`
	Slots    int    `msgpack:"s,omitempty"`
}

// budgetReply carries the loans in the order of the message's draws.
type budgetReply struct {
	Loans []loanMessage `msgpack:"l"`
}

// loanMessage is an admission.Loan.
type loanMessage struct {
	Tokens int `msgpack:"k,omitempty"`
	Slots  int `msgpack:"s,omitempty"`
	// Interval and RetryAfter are in milliseconds.
	Interval   int64 `msgpack:"i"`
	RetryAfter int64 `msgpack:"r,omitempty"`
}

type explainReply struct {
	Lines []string `msgpack:"l"`
}

// emptyReply is a reply without content.
type emptyReply struct{}

// outcomes maps wire numbers to outcomes. Numbers are never reused.
var outcomes = []fleet.Outcome{fleet.OutcomeComplete, fleet.OutcomeFailed, fleet.OutcomeCancelled, fleet.OutcomeUnsent}

func encodeCompletion(now time.Time, owner fleet.HostID, completion fleet.Completion) completionMessage {
	message := completionMessage{
		endedAt: now, Grant: shortGrantID(completion.Grant, owner), FirstToken: completion.FirstToken.Milliseconds(), Decoded: int64(completion.Decoded),
	}
	for number, outcome := range outcomes {
		if outcome == completion.Outcome {
			message.Outcome = uint8(number)
		}
	}
	return message
}

func (m completionMessage) decode(owner fleet.HostID) fleet.Completion {
	completion := fleet.Completion{
		Grant: fullGrantID(m.Grant, owner), FirstToken: milliseconds(m.FirstToken), Decoded: fleet.Work(m.Decoded),
		Age: milliseconds(max(0, m.Age)),
		// An outcome that this version does not know is handled as cancelled, which implies
		// nothing about the upstream.
		Outcome: fleet.OutcomeCancelled,
	}
	if int(m.Outcome) < len(outcomes) {
		completion.Outcome = outcomes[m.Outcome]
	}
	return completion
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// reasons maps wire numbers to reasons. Numbers are never reused.
var reasons = []fleet.Reason{fleet.ReasonHome, fleet.ReasonDisplaced, fleet.ReasonOverflow, fleet.ReasonRetry}

func encodeReason(reason fleet.Reason) uint8 {
	for number, candidate := range reasons {
		if candidate == reason {
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

// shortGrantID removes the owner's name from a grant id. It returns an id of another owner
// unchanged.
func shortGrantID(id fleet.GrantID, owner fleet.HostID) string {
	text := string(id)
	if strings.HasPrefix(text, string(owner)+"-") {
		return text[len(owner):]
	}
	return text
}

// fullGrantID is the inverse of shortGrantID. Host names do not start with a hyphen.
func fullGrantID(text string, owner fleet.HostID) fleet.GrantID {
	if strings.HasPrefix(text, "-") {
		return fleet.GrantID(string(owner) + text)
	}
	return fleet.GrantID(text)
}

// epochOf returns the owner's epoch from a short grant id. The epoch changes when the owner has
// lost its state.
func epochOf(short string) string {
	epoch, _, _ := strings.Cut(strings.TrimPrefix(short, "-"), "-")
	return epoch
}

// encodeDecision encodes a decision on a request with the given home.
func encodeDecision(decision placement.Decision, home string) acquireReply {
	if decision.Waiting {
		return acquireReply{Waiting: true}
	}
	if decision.Refusal != nil {
		return refusalReply(decision.Refusal)
	}
	grant := decision.Grant
	reply := acquireReply{
		Grant: shortGrantID(grant.ID, grant.Owner), Work: int64(grant.Work), Reason: encodeReason(grant.Reason),
		Load: int64(grant.Load), Bound: int64(grant.Bound), Warm: grant.Warm,
	}
	if string(grant.Upstream.ID) != home {
		reply.Upstream = string(grant.Upstream.ID)
	}
	return reply
}

func refusalReply(refusal *fleet.Refusal) acquireReply {
	return acquireReply{Refusal: &refusalMessage{
		Code: string(refusal.Code), Message: refusal.Message, RetryAfter: refusal.RetryAfter.Milliseconds(),
	}}
}

func (m *refusalMessage) decode() *fleet.Refusal {
	return fleet.Refuse(fleet.Code(m.Code), m.Message, milliseconds(m.RetryAfter))
}

func (m drawMessage) decode(from fleet.HostID) admission.DrawRequest {
	return admission.DrawRequest{From: from, Tokens: m.Tokens, Returned: m.Returned, Running: m.Running, Slots: m.Slots}
}

func encodeDraw(team fleet.Team, request admission.DrawRequest) drawMessage {
	return drawMessage{Team: string(team), Tokens: request.Tokens, Returned: request.Returned, Running: request.Running, Slots: request.Slots}
}

func encodeLoan(loan admission.Loan) loanMessage {
	return loanMessage{
		Tokens: loan.Tokens, Slots: loan.Slots,
		Interval: loan.Interval.Milliseconds(), RetryAfter: loan.RetryAfter.Milliseconds(),
	}
}

func (m loanMessage) decode() admission.Loan {
	return admission.Loan{Tokens: m.Tokens, Slots: m.Slots, Interval: milliseconds(m.Interval), RetryAfter: milliseconds(m.RetryAfter)}
}
