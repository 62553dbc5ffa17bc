// Package port defines the interfaces between a router and its environment: callers, upstreams,
// other routers, and the platform's key-value service and host list.
package port

import (
	"context"
	"strconv"
	"time"

	"agateswitch/core/revision"

	"github.com/juju/errors"
)

// ErrUnavailable is returned when the platform's service did not answer. A write that fails with
// ErrUnavailable may have taken effect: only a read shows whether it has.
const ErrUnavailable = errors.ConstError("key-value service unavailable")

// ErrNotApplied is returned when the platform's service refused a call without any effect. Such
// an error is also an ErrUnavailable.
const ErrNotApplied = errors.ConstError("key-value service refused the call")

// ErrCompacted is returned when the changes after a watch's revision have been compacted.
const ErrCompacted = errors.ConstError("key-value service no longer keeps these changes")

// ErrRestored is returned when the store has been restored from an older copy since the revision of a
// watch. Its history does not contain that revision.
const ErrRestored = errors.ConstError("key-value service was restored from an older copy")

// Entry is one key of the platform's key-value service, with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last change of the key. Its number is 0 if the key is
	// absent.
	Revision revision.Revision
}

// Condition holds when the key has the given revision; the number 0 means that the key is absent. A
// condition on a revision of an earlier era does not hold.
type Condition struct {
	Key      string
	Revision revision.Revision
}

// Write puts or deletes one key, or deletes a range of keys.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
	// DeleteTo makes Delete remove every key from Key up to but not including DeleteTo.
	DeleteTo string
	// Lease attaches the key to a lease, with which it expires. The zero value means none.
	Lease LeaseID
}

// Transaction applies all writes atomically if all conditions hold, and none otherwise.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	// ReadConflicts requests the entries of all condition keys, read in the same call, when
	// a condition does not hold.
	ReadConflicts bool
}

// CommitResult is the result of a transaction.
type CommitResult struct {
	// Applied is false when a condition did not hold.
	Applied bool
	// Revision is the store's revision after the transaction.
	Revision revision.Revision
	// Found holds one entry for each condition, in the order of the conditions, when the
	// transaction has ReadConflicts set and a condition did not hold.
	Found []Entry
}

// LeaseID identifies a lease of the key-value service. A store that was restored from an older copy has
// lost the newest leases, and gives their numbers to others.
type LeaseID struct {
	// Era is the era of the store in which the lease was granted.
	Era    int64
	Number int64
}

// IsNone reports whether the id stands for no lease.
func (l LeaseID) IsNone() bool { return l.Number == 0 }

// IsBefore reports whether the store was restored to an era since the lease was granted.
func (l LeaseID) IsBefore(era int64) bool { return l.Era < era }

// String returns the number, as logs show it.
func (l LeaseID) String() string { return strconv.FormatInt(l.Number, 10) }

// WatchEvent is a change of one key, or the end of the watch when Err is set.
type WatchEvent struct {
	Entry   Entry
	Deleted bool
	// Progress, unless it is zero, means that all changes up to this revision have been delivered.
	// Such an event has no entry. Not every store sends it.
	Progress revision.Revision
	Err      error
}

// Eras is implemented by stores that may be restored from an older copy.
type Eras interface {
	// Era returns the highest era that any response of the store has shown, or that LearnEra was told.
	Era() int64
	// LearnEra records an era that another router has seen. Responses of earlier eras that arrive
	// later fail, and watches of earlier eras end with ErrRestored.
	LearnEra(era int64)
}

// Store is the platform's key-value service. Each call counts against the service's rate limits;
// a watch counts as one call. Values have at most MaxValueBytes.
type Store interface {
	// Get reads one key. For an absent key it returns an Entry with revision 0.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys under a prefix, in key order, and returns the store's revision. It calls visit for each entry as it
	// arrives, so that no more is held than one response and what visit keeps. After an error the visited entries are not complete.
	List(ctx context.Context, prefix string, visit func(Entry)) (revision.Revision, error)
	// Commit executes a transaction. After ErrUnavailable it may have taken effect.
	Commit(ctx context.Context, transaction Transaction) (CommitResult, error)
	// Watch streams the changes under a prefix after a revision until ctx is done. The last
	// event has Err set, and then the channel is closed. A store whose watches are calls that wait for
	// changes sends a progress event each confirmWithin at least; 0 leaves the interval to the store.
	Watch(ctx context.Context, prefix string, after revision.Revision, confirmWithin time.Duration) <-chan WatchEvent
	// GrantLease creates a lease that expires after ttl without KeepAlive.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its new remaining time. Zero means that it has expired, or
	// that the store was restored since it was granted.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	// RevokeLease revokes a lease and removes its keys.
	RevokeLease(ctx context.Context, lease LeaseID) error
}

// MaxValueBytes is the size of the largest value that the key-value service accepts.
const MaxValueBytes = 1 << 20
