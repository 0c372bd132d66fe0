// Package endpoint implements the registry of endpoints that announce themselves
// to the daemons of one availability zone.
//
// A Registry is a pure data structure: the time is passed in, and it performs no
// I/O. An endpoint announces itself to any daemon of its zone under a lease.
// Daemons exchange changes as a Feed. A feed also confirms every endpoint of its
// sender that has not changed, so that renewals of unchanged endpoints need no
// message between daemons. If no feed of a daemon arrives for the duration of a
// lease, the endpoints announced only to that daemon lapse.
//
// A process that was suspended finds old messages in its buffers when it
// resumes. The registry detects the gap and treats such messages as received
// before it.
//
// Summary holds the totals that the arbiter of a zone sends to other zones.
//
// Observe records the outcomes of requests. An endpoint whose requests fail while
// other endpoints of its service succeed is ejected for a back-off that doubles
// with each ejection. It then runs one request at a time until one succeeds. The
// share of a service's endpoints that is ejected at the same time is bounded.
package endpoint
