// Package endpoint keeps the registry of endpoints that announce themselves to
// the daemons of one availability zone.
//
// Registry is a pure structure: time is passed in, and it performs no I/O. An
// endpoint announces itself to any daemon of its zone under a lease. Daemons
// exchange what changed as a Feed; a feed also vouches for everything that its
// sender has not changed, so that renewals of unchanged endpoints cost no
// message between daemons. A daemon whose feed falls silent for the lease takes
// the endpoints that only it had heard with it.
//
// A process that was stopped for a while finds old words in its buffers when it
// goes on. The registry notices the gap and counts such words as heard before it.
//
// Summary is what the arbiter of a zone tells other zones, in sums.
//
// Outcomes of requests are observed with Observe. An endpoint that fails all it
// gets while others of its service succeed is ejected for a back-off that
// doubles with each ejection, and then runs one request at a time until one
// succeeds. At most a set share of a service's endpoints is ejected at once.
package endpoint
