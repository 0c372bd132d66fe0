package record

import (
	"container/list"
	"time"
	"unique"

	"magnoliastand.example/dispatch"
	"magnoliastand.example/invariant"
)

// Defaults of KeeperConfig.
const (
	// ResendWindow is how long after first sending an id callers may resend it.
	ResendWindow = 10 * time.Minute
	// DefaultRetention exceeds ResendWindow by the longest delay of a resend in transit.
	DefaultRetention      = 12 * time.Minute
	DefaultMaxEntries     = 200_000
	DefaultMaxAnswerBytes = 8 << 20
	DefaultMaxAnswer      = 64 << 10
)

// KeeperConfig bounds a Keeper.
type KeeperConfig struct {
	// Retention is how long an id is remembered from its first Begin on.
	Retention time.Duration
	// MaxEntries bounds the ids remembered.
	MaxEntries int
	// MaxAnswerBytes bounds the bytes of all kept answers.
	MaxAnswerBytes int
	// MaxAnswer bounds the bytes of one kept answer; larger ones are not kept.
	MaxAnswer int
}

// DefaultKeeperConfig returns the defaults.
func DefaultKeeperConfig() KeeperConfig {
	return KeeperConfig{
		Retention:      DefaultRetention,
		MaxEntries:     DefaultMaxEntries,
		MaxAnswerBytes: DefaultMaxAnswerBytes,
		MaxAnswer:      DefaultMaxAnswer,
	}
}

// Keeper remembers which token was permitted to start each id, and answers for
// a while. It is pure: time is passed in. It is not safe for concurrent use.
type Keeper struct {
	cfg  KeeperConfig
	base time.Time // origin of instants; set at first use
	// abstainUntil is the end of the abstention of a keeper whose former
	// incarnation may have permitted starts that this one does not know.
	abstainUntil time.Time
	// unregistered makes the keeper abstain without end.
	unregistered bool
	entries      map[string]*entry
	// order holds entries by expiry, except running ones, which are revisited.
	order *list.List
	// kept holds entries with answers, oldest first.
	kept        *list.List
	answerBytes int
	// evicted, if set, is told of each forgotten id; full entries are then
	// evicted early in place of refusing new ids.
	evicted func(id string)
	// votesWithoutMemory switches abstention off. Tests only.
	votesWithoutMemory bool
}

// NewKeeper returns an empty keeper that abstains until abstainUntil.
func NewKeeper(cfg KeeperConfig, abstainUntil time.Time) *Keeper {
	return &Keeper{
		cfg:          cfg,
		abstainUntil: abstainUntil,
		entries:      make(map[string]*entry),
		order:        list.New(),
		kept:         list.New(),
	}
}

// abstainFor makes the keeper abstain for d from now, or longer if it already does.
func (k *Keeper) abstainFor(d time.Duration, now time.Time) {
	if until := now.Add(d); d > 0 && until.After(k.abstainUntil) {
		k.abstainUntil = until
	}
}

// at returns now on the keeper's clock, which starts at 1 so as to differ from never.
func (k *Keeper) at(now time.Time) instant {
	if k.base.IsZero() {
		k.base = now
	}
	return instant(now.Sub(k.base)) + 1
}

// Len returns the number of ids remembered.
func (k *Keeper) Len() int { return len(k.entries) }

// AnswerBytes returns the bytes of the kept answers.
func (k *Keeper) AnswerBytes() int { return k.answerBytes }

// Begin decides on a start. It replies Proceed to the first token of an id and
// again to the same token, so a lost reply may be asked for again.
func (k *Keeper) Begin(r BeginRequest, now time.Time) BeginReply {
	k.expire(now)
	e := k.entries[r.ID]
	if e == nil {
		if !k.makeRoom() {
			return BeginReply{Verdict: Abstain}
		}
		e = k.add(r.ID, r.Token, r.Digest, entryRunning, now)
		e.until = k.at(now.Add(r.Hold))
		return k.permit(e, now)
	}
	if !e.matches(r.Digest) {
		return BeginReply{Verdict: Mismatch}
	}
	switch e.state {
	case entryRunning:
		return k.beginRunning(e, r, now)
	case entryReleased:
		return k.beginReleased(e, r, now)
	case entryAnswered:
		return answeredReply(e)
	default:
		return BeginReply{Verdict: Unknown}
	}
}

func answeredReply(e *entry) BeginReply {
	if e.answer == nil {
		return BeginReply{Verdict: Unknown}
	}
	return BeginReply{Verdict: Answered, Answer: e.answer}
}

func (k *Keeper) beginRunning(e *entry, r BeginRequest, now time.Time) BeginReply {
	if e.holds(r.Token) {
		return k.permit(e, now)
	}
	if k.at(now) > e.until {
		e.state = entryUnknown
		return BeginReply{Verdict: Unknown}
	}
	return BeginReply{Verdict: Running, Holder: e.token()}
}

func (k *Keeper) beginReleased(e *entry, r BeginRequest, now time.Time) BeginReply {
	if e.holds(r.Token) {
		return BeginReply{Verdict: Superseded}
	}
	e.setToken(r.Token)
	e.state = entryRunning
	e.until = k.at(now.Add(r.Hold))
	if !e.hasDigest {
		e.setDigest(r.Digest)
	}
	return k.permit(e, now)
}

func (k *Keeper) permit(e *entry, now time.Time) BeginReply {
	if k.abstains(now) && !k.votesWithoutMemory {
		return BeginReply{Verdict: Abstain}
	}
	reply := BeginReply{Verdict: Proceed, Holder: e.token()}
	if e.refused != never {
		reply.Refused = true
		reply.RefusedAgo = time.Duration(k.at(now) - e.refused)
	}
	return reply
}

func (k *Keeper) abstains(now time.Time) bool {
	return k.unregistered || now.Before(k.abstainUntil)
}

// Finish records how a token ended. It returns whether the id changed state.
func (k *Keeper) Finish(r FinishRequest, now time.Time) bool {
	k.expire(now)
	e := k.entries[r.ID]
	checkOnce(e, r)
	switch r.Result {
	case ResultNotRun, ResultWithdrawn:
		return k.release(e, r, now)
	case ResultAnswered:
		return k.finishAnswered(e, r, now)
	default:
		return k.finishUnknown(e, r, now)
	}
}

// checkOnce asserts that no two tokens sent the same request to an endpoint.
func checkOnce(e *entry, r FinishRequest) {
	if e == nil || !e.ran || r.Idempotent || r.Result == ResultNotRun || r.Result == ResultWithdrawn {
		return
	}
	invariant.Check(e.holds(r.Token), invariant.AtMostOnce,
		"request %s: token %v may have run after token %v", r.ID, r.Token, e.token())
}

func (k *Keeper) release(e *entry, r FinishRequest, now time.Time) bool {
	if e == nil || e.state != entryRunning || !e.holds(r.Token) {
		return false
	}
	e.state = entryReleased
	if r.Result == ResultNotRun {
		e.refused = k.at(now)
	}
	return true
}

func (k *Keeper) finishAnswered(e *entry, r FinishRequest, now time.Time) bool {
	if e == nil {
		if !k.makeRoom() {
			return false
		}
		e = k.add(r.ID, r.Token, r.Digest, entryRunning, now)
	}
	if e.state == entryAnswered || !e.matches(r.Digest) {
		return false
	}
	e.state = entryAnswered
	e.ran = true
	e.setToken(r.Token)
	if r.Answer != nil && r.Answer.Size() <= k.cfg.MaxAnswer {
		k.keep(e, r.Answer)
	}
	return true
}

func (k *Keeper) finishUnknown(e *entry, r FinishRequest, now time.Time) bool {
	if e == nil {
		if k.makeRoom() {
			k.add(r.ID, r.Token, r.Digest, entryUnknown, now).ran = true
		}
		return true
	}
	if e.state == entryAnswered {
		return false
	}
	e.state = entryUnknown
	e.ran = true
	e.setToken(r.Token)
	return true
}

// Lookup returns what is known of an id without permitting a start.
func (k *Keeper) Lookup(r LookupRequest, now time.Time) LookupReply {
	k.expire(now)
	e := k.entries[r.ID]
	if e == nil || e.state == entryReleased {
		return k.absent(now)
	}
	if !e.matches(r.Digest) {
		return LookupReply{Verdict: Mismatch}
	}
	switch {
	case e.state == entryRunning && k.at(now) <= e.until:
		return LookupReply{Verdict: Running}
	case e.state == entryAnswered && e.answer != nil:
		return LookupReply{Verdict: Answered, Answer: e.answer}
	default:
		return LookupReply{Verdict: Unknown}
	}
}

// absent is the reply for ids that are not remembered: nothing ran as far as
// this keeper can vouch for it.
func (k *Keeper) absent(now time.Time) LookupReply {
	if k.abstains(now) && !k.votesWithoutMemory {
		return LookupReply{Verdict: Abstain}
	}
	return LookupReply{Verdict: Absent}
}

// OriginGone marks what a dead origin incarnation was running as unknown and
// returns the ids.
func (k *Keeper) OriginGone(origin dispatch.DaemonID) []string {
	var ids []string
	handle := unique.Make(origin)
	for id, e := range k.entries {
		if e.state == entryRunning && e.origin == handle {
			e.state = entryUnknown
			ids = append(ids, id)
		}
	}
	return ids
}

func (k *Keeper) add(id string, t Token, d Digest, s entryState, now time.Time) *entry {
	e := &entry{id: id, state: s, expiry: k.at(now.Add(k.cfg.Retention))}
	e.setToken(t)
	e.setDigest(d)
	k.entries[id] = e
	k.order.PushBack(e)
	return e
}

func (k *Keeper) keep(e *entry, a *Answer) {
	e.answer = a
	e.kept = k.kept.PushBack(e)
	k.answerBytes += a.Size()
	for k.answerBytes > k.cfg.MaxAnswerBytes {
		k.dropAnswer(k.kept.Front().Value.(*entry))
	}
}

func (k *Keeper) dropAnswer(e *entry) {
	if e.answer == nil {
		return
	}
	k.kept.Remove(e.kept)
	k.answerBytes -= e.answer.Size()
	e.answer = nil
	e.kept = nil
}

// expire forgets ids past their retention. A running one stays until its hold ends.
func (k *Keeper) expire(now time.Time) {
	for front := k.order.Front(); front != nil; front = k.order.Front() {
		e := front.Value.(*entry)
		if k.at(now) < e.expiry {
			return
		}
		if e.state == entryRunning && k.at(now) < e.until {
			e.expiry = k.at(now.Add(k.cfg.Retention))
			k.order.MoveToBack(front)
			continue
		}
		k.forget(front)
	}
}

func (k *Keeper) forget(el *list.Element) {
	e := k.order.Remove(el).(*entry)
	k.dropAnswer(e)
	delete(k.entries, e.id)
	if k.evicted != nil {
		k.evicted(e.id)
	}
}

// makeRoom reports whether another id can be remembered. A keeper of ids in
// the callers' own form must not forget early; a home may, through its watermark.
func (k *Keeper) makeRoom() bool {
	if len(k.entries) < k.cfg.MaxEntries {
		return true
	}
	if k.evicted == nil {
		return false
	}
	for el := k.order.Front(); el != nil; el = el.Next() {
		if el.Value.(*entry).state != entryRunning {
			k.forget(el)
			return true
		}
	}
	return false
}
