package workload

// Limits on what goes through the log. They are defined here together because each has to
// leave room for the next: a document is one command, a command has to fit an entry alone,
// and an entry, like a document that is passed to the leader, has to fit a frame of a peer
// link. TestSizesFitIntoEachOther in package system checks this.
const (
	// MaxDocumentBytes is the maximum size of a document. 10,000 routes take 2.5 MB.
	MaxDocumentBytes = 3 << 20
	// MaxEntryBytes is the maximum size of an encoded batch. With the 64 KiB that a message
	// of the log adds it is below the 4 MiB of a frame, which older builds accept too.
	MaxEntryBytes = MaxDocumentBytes + 512<<10
	// batchOverhead is what a batch adds to the encodings of its commands, in bytes.
	batchOverhead = 64
	// MaxCommandBytes is the maximum size of an encoded command.
	MaxCommandBytes = MaxEntryBytes - batchOverhead
	// MaxRemovedJobs is the maximum number of jobs of one RemoveJobs command.
	MaxRemovedJobs = 50_000
)
