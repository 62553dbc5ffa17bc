// Package kv is a client of the platform's key-value service over the JSON form of the etcd v3
// API (the gRPC gateway's paths /v3/kv, /v3/lease and /v3/watch): keys and values are base64,
// 64-bit integers are decimal strings.
package kv

import "github.com/juju/errors"

// The messages below are the subset of the etcd v3 API that the client uses. They are exported for
// the stand-in server, which implements the same subset.

// KeyValue is mvccpb.KeyValue.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
	Lease       int64  `json:"lease,string,omitempty"`
}

// Header is etcdserverpb.ResponseHeader.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// validate returns an error for a header without a revision. The service's revisions start at 1,
// and an empty message must not be read as an absent key.
func (h Header) validate() error {
	if h.Revision <= 0 {
		return errors.New("response without a revision")
	}
	return nil
}

// RangeRequest is etcdserverpb.RangeRequest.
type RangeRequest struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	KeysOnly       bool   `json:"keys_only,omitempty"`
	MinModRevision int64  `json:"min_mod_revision,string,omitempty"`
}

// RangeResponse is etcdserverpb.RangeResponse.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
}

// Compare is etcdserverpb.Compare with target MOD and result EQUAL.
type Compare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest is etcdserverpb.PutRequest.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest is etcdserverpb.DeleteRangeRequest.
type DeleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RequestOp is etcdserverpb.RequestOp; exactly one field is set.
type RequestOp struct {
	RequestRange       *RangeRequest       `json:"request_range,omitempty"`
	RequestPut         *PutRequest         `json:"request_put,omitempty"`
	RequestDeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest is etcdserverpb.TxnRequest.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// ResponseOp is etcdserverpb.ResponseOp. ResponseRange is nil for operations other than reads.
type ResponseOp struct {
	ResponseRange *RangeResponse `json:"response_range,omitempty"`
}

// TxnResponse is etcdserverpb.TxnResponse.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// WatchCreateRequest is etcdserverpb.WatchCreateRequest.
type WatchCreateRequest struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
	// ProgressNotify requests empty messages while nothing changes.
	ProgressNotify bool `json:"progress_notify,omitempty"`
}

// WatchRequest is etcdserverpb.WatchRequest.
type WatchRequest struct {
	CreateRequest *WatchCreateRequest `json:"create_request"`
}

// Event is mvccpb.Event. Type is "PUT" (or empty) or "DELETE".
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResponse is etcdserverpb.WatchResponse.
type WatchResponse struct {
	Header  Header `json:"header"`
	Created bool   `json:"created,omitempty"`
	// Canceled ends the watch, for instance because its revision was compacted.
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchEnvelope is one line of the gateway's watch stream.
type WatchEnvelope struct {
	Result WatchResponse `json:"result"`
	Error  *StreamError  `json:"error,omitempty"`
}

// StreamError is the error with which the gateway ends a stream.
type StreamError struct {
	Message string `json:"message"`
}

// LeaseGrantRequest is etcdserverpb.LeaseGrantRequest. TTL is in seconds.
type LeaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// LeaseRequest identifies the lease to keep alive or revoke.
type LeaseRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseResponse is the response to grant, keep-alive and revoke. TTL is in seconds.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string"`
	TTL    int64  `json:"TTL,string"`
}

// LeaseKeepAliveEnvelope is the gateway's response to keep-alive.
type LeaseKeepAliveEnvelope struct {
	Result LeaseResponse `json:"result"`
}

// HTTP paths of the gateway.
const (
	PathRange          = "/v3/kv/range"
	PathTxn            = "/v3/kv/txn"
	PathWatch          = "/v3/watch"
	PathLeaseGrant     = "/v3/lease/grant"
	PathLeaseKeepAlive = "/v3/lease/keepalive"
	PathLeaseRevoke    = "/v3/lease/revoke"
)

// PrefixEnd returns the exclusive end of the range of all keys with the prefix. A single zero byte
// means no end.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
