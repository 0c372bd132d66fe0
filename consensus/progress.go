package consensus

// progressState tells how the leader sends entries to a member.
type progressState uint8

const (
	// probing sends one message at a time until the logs match.
	probing progressState = iota
	// replicating sends up to MaxInflight messages ahead of answers.
	replicating
	// transferring sends a snapshot in chunks.
	transferring
)

// stallHeartbeats is the number of heartbeat intervals after which an unanswered
// message is taken as lost, when a heartbeat sent later has been answered.
const stallHeartbeats = 2

// progress is what the leader knows of another member.
type progress struct {
	state progressState
	match uint64
	next  uint64
	// inflight holds the last index of each unanswered append.
	inflight []uint64
	// waiting is set while a probe or chunk is unanswered.
	waiting bool
	// busySince is the tick of the oldest unanswered message, or of the last
	// answer.
	busySince uint64
	// answered is set once the member has answered this leader.
	answered bool
	// sentCommit is the highest commit index that was sent.
	sentCommit uint64
	// beatTick is the tick of the last heartbeat.
	beatTick uint64
	// ackTick and ackRound are the newest echoes of this member.
	ackTick  uint64
	ackRound uint64
	snap     *Snapshot
	offset   uint64
}

// probe starts again from the last entry known to match.
func (p *progress) probe() {
	p.state = probing
	p.next = p.match + 1
	p.inflight = nil
	p.waiting = false
	p.snap = nil
}

// wait marks a probe or chunk as unanswered.
func (p *progress) wait(now uint64) {
	p.waiting = true
	p.busySince = now
}

// sent records an append that ends with index.
func (p *progress) sent(index, now uint64) {
	if len(p.inflight) == 0 {
		p.busySince = now
	}
	p.next = index + 1
	p.inflight = append(p.inflight, index)
}

// probeAt starts again from the entry after hint.
func (p *progress) probeAt(hint uint64) {
	p.probe()
	p.next = max(p.match, hint) + 1
}

// acked records that the member holds the entries up to index. It reports
// whether that is news.
func (p *progress) acked(index, now uint64) bool {
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	p.busySince = now
	fresh := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	if p.state == transferring && p.match < p.snap.Index {
		return fresh
	}
	if p.state != replicating {
		p.state = replicating
		p.next = p.match + 1
		p.inflight = nil
		p.waiting = false
		p.snap = nil
	}
	return fresh
}

// heard records the answer to a heartbeat sent at tick, and repeats what seems
// lost.
func (p *progress) heard(tick, stall uint64) {
	busy := p.waiting || len(p.inflight) > 0
	if !busy || tick < p.busySince+stall {
		return
	}
	if p.state == transferring {
		p.waiting = false
		return
	}
	p.probe()
}

// transfer starts to send a snapshot.
func (p *progress) transfer(s *Snapshot) {
	p.probe()
	p.state = transferring
	p.snap = s
	p.offset = 0
}
