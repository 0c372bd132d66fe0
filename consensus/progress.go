package consensus

// progressState is the mode in which the leader sends entries to a member.
type progressState uint8

const (
	// probing sends one append at a time until a matching entry is found.
	probing progressState = iota
	// replicating pipelines up to MaxInflight unacknowledged appends.
	replicating
	// transferring sends a snapshot one chunk at a time.
	transferring
)

// lostAfterHeartbeats is the number of heartbeat intervals after which an
// unacknowledged message is considered lost, if a heartbeat sent that much later
// has been acknowledged.
const lostAfterHeartbeats = 2

// progress is the leader's replication state for another member.
type progress struct {
	state progressState
	match uint64
	next  uint64
	// inflight holds the last index of each unacknowledged append, oldest first.
	inflight []uint64
	// waiting is set while a probe or snapshot chunk is unacknowledged.
	waiting bool
	// waitingSince is the tick at which the first unacknowledged message was sent
	// or the last acknowledgement arrived, whichever is later.
	waitingSince uint64
	// hasResponded is set once the member has responded to this leader.
	hasResponded bool
	// sentCommit is the highest commit index sent to the member.
	sentCommit uint64
	// heartbeatTick is the tick of the last heartbeat.
	heartbeatTick uint64
	// ackTick and ackRound are the highest leader tick and heartbeat round that
	// the member has echoed.
	ackTick  uint64
	ackRound uint64
	snap     *Snapshot
	offset   uint64
}

// resetToProbing restarts probing after the last entry known to match.
func (p *progress) resetToProbing() {
	p.state = probing
	p.next = p.match + 1
	p.inflight = nil
	p.waiting = false
	p.snap = nil
}

// markWaiting records that a probe or snapshot chunk was sent.
func (p *progress) markWaiting(now uint64) {
	p.waiting = true
	p.waitingSince = now
}

// recordSent records that an append ending at index was sent.
func (p *progress) recordSent(index, now uint64) {
	if len(p.inflight) == 0 {
		p.waitingSince = now
	}
	p.next = index + 1
	p.inflight = append(p.inflight, index)
}

// resetToProbingAfter restarts probing after hint.
func (p *progress) resetToProbingAfter(hint uint64) {
	p.resetToProbing()
	p.next = max(p.match, hint) + 1
}

// recordAck records that the member holds the entries up to index, and reports
// whether that advances match.
func (p *progress) recordAck(index, now uint64) bool {
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	p.waitingSince = now
	advanced := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	if p.state == transferring && p.match < p.snap.Index {
		return advanced
	}
	if p.state != replicating {
		p.state = replicating
		p.next = p.match + 1
		p.inflight = nil
		p.waiting = false
		p.snap = nil
	}
	return advanced
}

// recordHeartbeatAck records the response to a heartbeat sent at tick. If another
// message, sent at least retryAfter ticks before the heartbeat, is still
// unacknowledged, it is considered lost and will be sent again.
func (p *progress) recordHeartbeatAck(tick, retryAfter uint64) {
	unacknowledged := p.waiting || len(p.inflight) > 0
	if !unacknowledged || tick < p.waitingSince+retryAfter {
		return
	}
	if p.state == transferring {
		p.waiting = false
		return
	}
	p.resetToProbing()
}

// startSnapshot starts the transfer of a snapshot to the member.
func (p *progress) startSnapshot(s *Snapshot) {
	p.resetToProbing()
	p.state = transferring
	p.snap = s
	p.offset = 0
}
