// Package placement decides on which upstream a request runs. It is pure: it takes events
// with their time and returns decisions as values.
//
// A pool is cut into shards of about eight upstreams. One router owns a shard and grants
// the requests whose home is in it. The home of a chat is the first upstream in its weighted
// rendezvous order over the whole pool, so that the loss of an upstream moves its chats only.
//
// # What is bounded
//
// Load is work in tokens: the uncached prefill and expected decode that the requests which
// hold a grant have left. The owner hears of ends only, and estimates the progress between
// from the usual times to the first token and from token to token.
//
// Let W be the load of the shard's bearing upstreams, S the sum of their weights, and r the new
// request's work. Bearing upstreams are those that take new work and are not held at their
// cold-start limit. A request is granted to upstream e only if
//
//	load(e) + r ≤ factor × (W + r) × weight(e) / S    (the bound)
//	or load(e) ≤ W × weight(e) / S                    (e is at or below the mean without r)
//
// where the second case counts only when no upstream satisfies the first, and then takes the
// least loaded one. So at the moment of each grant an upstream has at most factor times the
// mean of its shard, or it is at or below that mean without its newest request. The second case
// is what holds while a pool is nearly idle: a single request runs on one idle upstream, though
// it is then many times the mean, and a second request goes elsewhere. It also holds for a
// request that is larger than factor − 1 of the mean (a quarter by default). The least loaded
// bearing upstream always satisfies the second case, so that the bound alone never refuses a
// request that may run on any upstream of the shard.
//
// The mean is the shard's. That of the pool differs from it as the shards' loads differ.
//
// The mean falls when requests end. An upstream that is then above the bound gets nothing
// new until it is below.
//
// # Failing upstreams
//
// An upstream that takes no connection, or fails three requests in a row, is held off: it
// gets nothing for 0.5 s, then one request at a time until one is whole. The time doubles
// with each failure up to 8 s.
//
// # Lost routers
//
// A grant counts until its end is told, until it has not been renewed for GrantLife, or until
// the router that holds it is known to be lost. Whoever knows that calls Free. A router that
// was taken for lost renews its grants as before, and they count again from then on.
//
// # Two owners
//
// While two routers grant for one shard, each counts what the upstream reports beyond its own
// grants as foreign load. An upstream can then exceed the bound by no more than what the
// other owner granted since the last report that the first one has read.
package placement
