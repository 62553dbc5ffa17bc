package kv

import (
	"context"

	"agateswitch/core/revision"
	"agateswitch/port"

	"github.com/juju/errors"
)

// Commit implements port.Store.
func (c *Client) Commit(ctx context.Context, transaction port.Transaction) (port.CommitResult, error) {
	request, err := TransactionRequest(transaction)
	if err != nil {
		return port.CommitResult{}, err
	}
	var response TxnResponse
	if err := c.write(ctx, PathTxn, request, &response); err != nil {
		return port.CommitResult{}, err
	}
	result, err := TransactionResult(transaction, response)
	if err != nil {
		return port.CommitResult{}, unavailable(PathTxn, err)
	}
	return result, nil
}

// TransactionRequest encodes a transaction. It returns an error when a value is larger than
// port.MaxValueBytes.
func TransactionRequest(transaction port.Transaction) (TxnRequest, error) {
	var request TxnRequest
	for _, condition := range transaction.Conditions {
		key := []byte(condition.Key)
		request.Compare = append(request.Compare, Compare{
			Result: "EQUAL", Target: "MOD", Key: key, ModRevision: condition.Revision.Number,
		})
		if transaction.ReadConflicts {
			request.Failure = append(request.Failure, RequestOp{RequestRange: &RangeRequest{Key: key}})
		}
	}
	for _, write := range transaction.Writes {
		if len(write.Value) > port.MaxValueBytes {
			return TxnRequest{}, errors.Errorf("value of %q is %d bytes, more than %d",
				write.Key, len(write.Value), port.MaxValueBytes)
		}
		request.Success = append(request.Success, operation(write))
	}
	return request, nil
}

func operation(write port.Write) RequestOp {
	if write.Delete {
		return RequestOp{RequestDeleteRange: &DeleteRangeRequest{
			Key: []byte(write.Key), RangeEnd: []byte(write.DeleteTo),
		}}
	}
	return RequestOp{RequestPut: &PutRequest{
		Key: []byte(write.Key), Value: write.Value, Lease: write.Lease.Number,
	}}
}

// TransactionResult decodes the response to a transaction. It returns an error when the response
// does not match the transaction.
func TransactionResult(transaction port.Transaction, response TxnResponse) (port.CommitResult, error) {
	if err := response.Header.validate(); err != nil {
		return port.CommitResult{}, err
	}
	result := port.CommitResult{Applied: response.Succeeded, Revision: revision.Revision{Number: response.Header.Revision}}
	if response.Succeeded || !transaction.ReadConflicts {
		return result, nil
	}
	if len(response.Responses) != len(transaction.Conditions) {
		return port.CommitResult{}, errors.Errorf("%d answers to %d reads", len(response.Responses), len(transaction.Conditions))
	}
	for i, condition := range transaction.Conditions {
		found, err := singleEntry(condition.Key, response.Responses[i].ResponseRange)
		if err != nil {
			return port.CommitResult{}, err
		}
		result.Found = append(result.Found, found)
	}
	return result, nil
}

// singleEntry returns the entry of a response to the read of one key. An absent key gives an entry
// of revision 0.
func singleEntry(key string, response *RangeResponse) (port.Entry, error) {
	if response == nil {
		return port.Entry{}, errors.Errorf("no answer to the read of %q", key)
	}
	if len(response.KVs) == 0 {
		return port.Entry{Key: key}, nil
	}
	found := entry(response.KVs[0])
	if found.Key != key {
		return port.Entry{}, errors.Errorf("read of %q answered with %q", key, found.Key)
	}
	return found, nil
}
