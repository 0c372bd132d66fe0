// Package connlimit bounds the memory and descriptors that inbound connections of a
// process hold. All HTTP listeners of the process share one Guard. It closes connections
// only when a limit is reached: idle ones first, then those that hold the most for the
// least progress.
package connlimit
