package record

import (
	"container/list"
	"time"
	"unique"

	"magnoliastand.example/dispatch"
	"magnoliastand.example/invariant"
)

// Defaults of StoreConfig.
const (
	// ResendWindow is how long after the first send a caller may resend an id.
	ResendWindow = 10 * time.Minute
	// DefaultRetention exceeds ResendWindow by the longest delay of a resend in
	// transit.
	DefaultRetention      = 12 * time.Minute
	DefaultMaxEntries     = 200_000
	DefaultMaxAnswerBytes = 8 << 20
	DefaultMaxAnswerSize  = 64 << 10
)

// StoreConfig sets the limits of a Store.
type StoreConfig struct {
	// Retention is how long an id is remembered after its first Begin.
	Retention time.Duration
	// MaxEntries limits the number of remembered ids.
	MaxEntries int
	// MaxAnswerBytes limits the total size of the stored answers.
	MaxAnswerBytes int
	// MaxAnswerSize limits the size of one stored answer in bytes. Larger
	// answers are not stored.
	MaxAnswerSize int
}

// DefaultStoreConfig returns the defaults.
func DefaultStoreConfig() StoreConfig {
	return StoreConfig{
		Retention:      DefaultRetention,
		MaxEntries:     DefaultMaxEntries,
		MaxAnswerBytes: DefaultMaxAnswerBytes,
		MaxAnswerSize:  DefaultMaxAnswerSize,
	}
}

// Store records which token was permitted to start each id, and stores answers
// until they expire or are evicted. It reads no clock; callers pass the time.
// It is not safe for concurrent use.
type Store struct {
	cfg  StoreConfig
	base time.Time // origin of instants; set at first use
	// abstainUntil ends the abstention of a store whose previous incarnation
	// may have permitted starts that this one has no record of.
	abstainUntil time.Time
	// unregistered makes the store abstain indefinitely.
	unregistered bool
	entries      map[string]*entry
	// byExpiry holds entries in order of expiry. A running entry whose
	// hold outlasts its expiry is moved to the back with a new expiry.
	byExpiry *list.List
	// withAnswer holds the entries with answers, oldest first.
	withAnswer  *list.List
	answerBytes int
	// onEvict, if set, is called with each evicted id. A full store then evicts
	// entries early instead of refusing new ids.
	onEvict func(id string)
	// abstentionDisabled disables abstention. It is set by tests only.
	abstentionDisabled bool
}

// NewStore returns an empty store that abstains until abstainUntil.
func NewStore(cfg StoreConfig, abstainUntil time.Time) *Store {
	return &Store{
		cfg:          cfg,
		abstainUntil: abstainUntil,
		entries:      make(map[string]*entry),
		byExpiry:     list.New(),
		withAnswer:   list.New(),
	}
}

// abstainFor makes the store abstain for at least d from now.
func (st *Store) abstainFor(d time.Duration, now time.Time) {
	if until := now.Add(d); d > 0 && until.After(st.abstainUntil) {
		st.abstainUntil = until
	}
}

// instantOf converts now to the store's clock, which starts at 1 to differ from
// never.
func (st *Store) instantOf(now time.Time) instant {
	if st.base.IsZero() {
		st.base = now
	}
	return instant(now.Sub(st.base)) + 1
}

// Len returns the number of ids remembered.
func (st *Store) Len() int { return len(st.entries) }

// AnswerBytes returns the total size of the stored answers.
func (st *Store) AnswerBytes() int { return st.answerBytes }

// Begin decides on a start. It replies Proceed to the first token of an id, and
// again to the same token, so a caller may repeat the request after a lost
// reply.
func (st *Store) Begin(r BeginRequest, now time.Time) BeginReply {
	st.expire(now)
	e := st.entries[r.ID]
	if e == nil {
		if !st.makeRoom() {
			return BeginReply{Verdict: Abstain}
		}
		e = st.add(r.ID, r.Token, r.Digest, entryRunning, now)
		e.holdUntil = st.instantOf(now.Add(r.Hold))
		return st.permitStart(e, now)
	}
	if !e.matches(r.Digest) {
		return BeginReply{Verdict: Mismatch}
	}
	switch e.state {
	case entryRunning:
		return st.beginRunning(e, r, now)
	case entryReleased:
		return st.beginReleased(e, r, now)
	case entryAnswered:
		return answeredReply(e)
	default:
		return BeginReply{Verdict: Unknown, Lost: e.lost}
	}
}

func answeredReply(e *entry) BeginReply {
	if e.answer == nil {
		return BeginReply{Verdict: Unknown}
	}
	return BeginReply{Verdict: Answered, Answer: e.answer}
}

func (st *Store) beginRunning(e *entry, r BeginRequest, now time.Time) BeginReply {
	if e.heldBy(r.Token) {
		return st.permitStart(e, now)
	}
	if st.instantOf(now) > e.holdUntil {
		e.state = entryUnknown
		return BeginReply{Verdict: Unknown, Lost: e.lost}
	}
	return BeginReply{Verdict: Running, Holder: e.token()}
}

func (st *Store) beginReleased(e *entry, r BeginRequest, now time.Time) BeginReply {
	if e.heldBy(r.Token) {
		return BeginReply{Verdict: Superseded}
	}
	e.setToken(r.Token)
	e.state = entryRunning
	e.holdUntil = st.instantOf(now.Add(r.Hold))
	if !e.hasDigest {
		e.setDigest(r.Digest)
	}
	return st.permitStart(e, now)
}

func (st *Store) permitStart(e *entry, now time.Time) BeginReply {
	if st.abstains(now) && !st.abstentionDisabled {
		return BeginReply{Verdict: Abstain}
	}
	reply := BeginReply{Verdict: Proceed, Holder: e.token()}
	if e.refusedAt != never {
		reply.Refused = true
		reply.RefusedAgo = time.Duration(st.instantOf(now) - e.refusedAt)
	}
	return reply
}

func (st *Store) abstains(now time.Time) bool {
	return st.unregistered || now.Before(st.abstainUntil)
}

// Finish records the outcome of an attempt and reports whether the id changed
// state.
func (st *Store) Finish(r FinishRequest, now time.Time) bool {
	st.expire(now)
	e := st.entries[r.ID]
	checkSingleRun(e, r)
	switch r.Result {
	case ResultNotRun, ResultWithdrawn:
		return st.release(e, r, now)
	case ResultAnswered:
		return st.finishAnswered(e, r, now)
	default:
		return st.finishUnknown(e, r, now)
	}
}

// checkSingleRun asserts that no two tokens sent the same non-idempotent
// request to an endpoint.
func checkSingleRun(e *entry, r FinishRequest) {
	if e == nil || !e.mayHaveRun || r.Idempotent || r.Result == ResultNotRun || r.Result == ResultWithdrawn {
		return
	}
	invariant.Check(e.heldBy(r.Token), invariant.AtMostOnce,
		"request %s: token %v may have run after token %v", r.ID, r.Token, e.token())
}

func (st *Store) release(e *entry, r FinishRequest, now time.Time) bool {
	if e == nil || e.state != entryRunning || !e.heldBy(r.Token) {
		return false
	}
	e.state = entryReleased
	if r.Result == ResultNotRun {
		e.refusedAt = st.instantOf(now)
	}
	return true
}

func (st *Store) finishAnswered(e *entry, r FinishRequest, now time.Time) bool {
	if e == nil {
		if !st.makeRoom() {
			return false
		}
		e = st.add(r.ID, r.Token, r.Digest, entryRunning, now)
	}
	if e.state == entryAnswered || !e.matches(r.Digest) {
		return false
	}
	e.state = entryAnswered
	e.mayHaveRun = true
	e.setToken(r.Token)
	if r.Answer != nil && r.Answer.Size() <= st.cfg.MaxAnswerSize {
		st.storeAnswer(e, r.Answer)
	}
	return true
}

func (st *Store) finishUnknown(e *entry, r FinishRequest, now time.Time) bool {
	if e == nil {
		if st.makeRoom() {
			e = st.add(r.ID, r.Token, r.Digest, entryUnknown, now)
			e.mayHaveRun, e.lost = true, r.Lost
		}
		return true
	}
	if e.state == entryAnswered {
		return false
	}
	if e.state != entryUnknown || !e.heldBy(r.Token) {
		// Otherwise the report is a repeated one.
		e.addLost(r.Lost)
	}
	e.state = entryUnknown
	e.mayHaveRun = true
	e.setToken(r.Token)
	return true
}

// Lookup returns the recorded state of an id without permitting a start.
func (st *Store) Lookup(r LookupRequest, now time.Time) LookupReply {
	st.expire(now)
	e := st.entries[r.ID]
	if e == nil || e.state == entryReleased {
		return st.absent(now)
	}
	if !e.matches(r.Digest) {
		return LookupReply{Verdict: Mismatch}
	}
	switch {
	case e.state == entryRunning && st.instantOf(now) <= e.holdUntil:
		return LookupReply{Verdict: Running}
	case e.state == entryAnswered && e.answer != nil:
		return LookupReply{Verdict: Answered, Answer: e.answer}
	default:
		return LookupReply{Verdict: Unknown}
	}
}

// absent returns the reply for ids that are not recorded: Absent, or Abstain
// while the store may lack records of an earlier run.
func (st *Store) absent(now time.Time) LookupReply {
	if st.abstains(now) && !st.abstentionDisabled {
		return LookupReply{Verdict: Abstain}
	}
	return LookupReply{Verdict: Absent}
}

// OriginGone marks the running entries of an ended origin incarnation as
// unknown and returns their ids.
func (st *Store) OriginGone(origin dispatch.DaemonID) []string {
	var ids []string
	handle := unique.Make(origin)
	for id, e := range st.entries {
		if e.state == entryRunning && e.origin == handle {
			e.state = entryUnknown
			ids = append(ids, id)
		}
	}
	return ids
}

func (st *Store) add(id string, t Token, d Digest, s entryState, now time.Time) *entry {
	e := &entry{id: id, state: s, expiry: st.instantOf(now.Add(st.cfg.Retention))}
	e.setToken(t)
	e.setDigest(d)
	st.entries[id] = e
	st.byExpiry.PushBack(e)
	return e
}

func (st *Store) storeAnswer(e *entry, a *Answer) {
	e.answer = a
	e.answerElement = st.withAnswer.PushBack(e)
	st.answerBytes += a.Size()
	for st.answerBytes > st.cfg.MaxAnswerBytes {
		st.dropAnswer(st.withAnswer.Front().Value.(*entry))
	}
}

func (st *Store) dropAnswer(e *entry) {
	if e.answer == nil {
		return
	}
	st.withAnswer.Remove(e.answerElement)
	st.answerBytes -= e.answer.Size()
	e.answer = nil
	e.answerElement = nil
}

// expire removes ids past their retention. Running entries stay until their
// hold ends.
func (st *Store) expire(now time.Time) {
	for front := st.byExpiry.Front(); front != nil; front = st.byExpiry.Front() {
		e := front.Value.(*entry)
		if st.instantOf(now) < e.expiry {
			return
		}
		if e.state == entryRunning && st.instantOf(now) < e.holdUntil {
			e.expiry = st.instantOf(now.Add(st.cfg.Retention))
			st.byExpiry.MoveToBack(front)
			continue
		}
		st.forget(front)
	}
}

func (st *Store) forget(el *list.Element) {
	e := st.byExpiry.Remove(el).(*entry)
	st.dropAnswer(e)
	delete(st.entries, e.id)
	if st.onEvict != nil {
		st.onEvict(e.id)
	}
}

// makeRoom reports whether another id can be recorded. A store of caller-chosen
// ids must not evict early; a home may, because its watermark covers evicted
// ids.
func (st *Store) makeRoom() bool {
	if len(st.entries) < st.cfg.MaxEntries {
		return true
	}
	if st.onEvict == nil {
		return false
	}
	for el := st.byExpiry.Front(); el != nil; el = el.Next() {
		if el.Value.(*entry).state != entryRunning {
			st.forget(el)
			return true
		}
	}
	return false
}
