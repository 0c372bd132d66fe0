// Package cluster makes a process a member of the replicated log, through which
// daemons discover each other at run time. A daemon's name is the address of its
// peer links. The first voters are the seeds of the initial start; every later
// daemon joins. A Finder lets daemons without a log find the leader.
package cluster
