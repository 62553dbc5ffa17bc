// Package placement decides on which upstream a request runs. It is pure: it receives events
// with their time and returns decisions as values.
//
// A pool is divided into shards of about eight upstreams. One router owns a shard and grants
// the requests whose home is in it. The home of a chat is the first upstream in its weighted
// rendezvous order over the whole pool, so that the loss of an upstream moves its chats only.
//
// # What is bounded
//
// Load is work in tokens: the uncached prefill and expected decode that requests with a grant
// still have to do. Routers report only the end of a request. Between grant and end, the owner
// estimates progress from the smoothed times to the first token and between tokens.
//
// The mean load of a shard covers the upstreams that accept new work and are not full at their
// cold-start limit. Let W be the load of these upstreams, S the sum of their weights, and r the
// new request's work. A request is granted to upstream e only if
//
//	load(e) + r ≤ factor × (W + r) × weight(e) / S    (the bound)
//	or load(e) ≤ W × weight(e) / S                    (e is at or below the mean without r)
//
// The second case applies only when no upstream satisfies the first, and then selects the least
// loaded upstream. So at the moment of each grant an upstream has at most factor times the mean
// of its shard, or it is at or below that mean without its newest request. The second case
// applies while a pool is nearly idle: a single request runs on one idle upstream, whose load is
// then many times the mean, and a second request runs on another. It also applies to a request
// that is larger than factor − 1 of the mean (a quarter by default). The least loaded upstream
// that counts in the mean always satisfies the second case, so the bound alone never refuses a
// request that may run on any upstream of the shard.
//
// The mean is that of the shard. The mean of the pool differs from it as the loads of the shards
// differ.
//
// The mean falls when requests end. An upstream that is then above the bound receives no new
// request until its load is below the bound.
//
// # Failing upstreams
//
// A circuit breaker opens when an upstream accepts no connection or fails three requests in a
// row. The upstream receives no request for 0.5 s, then one request at a time until one
// completes. The open time doubles with each failure, up to 8 s.
//
// # Lost routers
//
// A grant counts until its end is reported, until it has not been renewed for GrantTTL, or until
// the router that holds it is known to be lost. Whoever learns of the loss calls ReleaseGrants,
// which ends that router's grants. A router that was wrongly considered lost renews its grants as
// before, and they count again from then on.
//
// # Two owners
//
// While two routers grant for one shard, each counts the load that the upstream reports beyond
// its own grants as foreign load. An upstream can then exceed the bound by no more than what the
// other owner granted since the last report that the first owner has read.
package placement
