// Package cluster makes a process a member of the replicated log where daemons
// learn of each other as they run: a daemon's name is the address of its peer
// links, the first voters are the seeds of the first start, and every later
// daemon joins. A Finder lets daemons without a log find the leader.
package cluster
