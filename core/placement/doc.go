// Package placement decides on which upstream a request runs. It is pure: it takes events
// with their time and returns decisions as values.
//
// A pool is cut into shards of about eight upstreams. One router owns a shard and grants
// the requests whose home is in it. The home of a chat is the first upstream in its weighted
// rendezvous order over the whole pool, so that the loss of an upstream moves its chats only.
//
// # What is bounded
//
// Load is work in tokens: uncached prefill plus expected decode of the requests that hold a
// grant. Work counts in full until the request ends. Let W be the work on the shard's
// bearing upstreams, the new request's work r included, S the sum of their weights, and
// share(e) = W × weight(e) / S the mean load for upstream e. Bearing upstreams are those that
// take new work and are not held at their cold-start limit. A request is granted to e only if
//
//	load(e) + r ≤ factor × share(e)    (the bound)
//	or load(e) ≤ (W − r) × weight(e) / S    (e is at or below the mean without the request)
//
// So at the moment of each grant an upstream has at most factor times the mean, or it is at
// or below the mean without its newest request. The second case is what holds while a pool is
// nearly idle: a single request runs on one idle upstream, though it is then many times the
// mean, and a second request goes elsewhere. Once no request is larger than factor − 1 of the
// mean (a quarter by default, so from about four equal requests an upstream on), the first
// case alone holds. At least one bearing upstream always qualifies, so that the bound alone
// never refuses a request that may run on any upstream of the shard.
//
// The mean falls when requests end. An upstream that is then above the bound gets nothing
// new until it is below.
//
// # Two owners
//
// While two routers grant for one shard, each counts what the upstream reports beyond its own
// grants as foreign load. An upstream can then exceed the bound by no more than what the
// other owner granted since the last report that the first one has read.
package placement
