package workload

import "strings"

// Verb is the operation that a caller requests.
type Verb uint8

// Verbs of a request.
const (
	VerbSubmit Verb = iota + 1
	VerbState
	VerbCancel
	// VerbPending requests the number of jobs of a queue that have not begun.
	VerbPending
)

// String returns the name of the verb.
func (v Verb) String() string {
	return [...]string{"none", "submit", "state", "cancel", "pending"}[v]
}

// Request is a request by a caller. Host and Path select the queue and the job.
type Request struct {
	Verb Verb   `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	Key  string `cbor:"4,keyasint,omitempty"`
	// Spec is set for VerbSubmit.
	Spec *Spec `cbor:"5,keyasint,omitempty"`
	// Fault describes why the body could not be decoded; empty if it was.
	Fault string `cbor:"6,keyasint,omitempty"`
}

// Answer is the kind of a response.
type Answer uint8

// Answers to a request.
const (
	AnswerOK Answer = iota + 1
	AnswerNoQueue
	AnswerUnknownKey
	AnswerNoJob
	AnswerMalformed
	// AnswerNotRun means that the request has not run and never will.
	AnswerNotRun
	// AnswerUnknown means that the request may or may not have run.
	AnswerUnknown
)

// String returns the name of the answer.
func (a Answer) String() string {
	names := [...]string{"none", "ok", "no-queue", "unknown-key", "no-job", "malformed", "not-run", "unknown"}
	return names[a]
}

// Response answers a request.
type Response struct {
	Answer Answer `cbor:"1,keyasint"`
	// Verb is the operation that the response answers.
	Verb Verb `cbor:"6,keyasint,omitempty"`
	// Reason explains every answer but AnswerOK.
	Reason string `cbor:"2,keyasint,omitempty"`
	// State is set for VerbState.
	State JobState `cbor:"3,keyasint,omitempty"`
	// Pending is set for VerbPending.
	Pending int `cbor:"4,keyasint,omitempty"`
	// Version is the version of the document against which the request was resolved.
	Version int64 `cbor:"5,keyasint,omitempty"`
}

// Target is the queue, team and job to which a request resolves.
type Target struct {
	Queue *Queue
	Team  string
	// Job is the id of the job; empty for VerbPending.
	Job string
}

// jobIDLen is the length of a job id in hexadecimal digits.
const jobIDLen = 16

// Resolve finds the queue, team and job of a request. A non-nil response refuses
// the request and gives the reason. Resolve changes VerbState to VerbPending when
// the path names no job.
func (s *State) Resolve(r *Request) (Target, *Response) {
	refuse := func(a Answer, reason string) (Target, *Response) {
		return Target{}, &Response{Answer: a, Reason: reason, Version: s.doc.Version}
	}
	if s.doc.Version == 0 {
		return refuse(AnswerNotRun, "no document yet")
	}
	q := s.queueAt(r.Host, r.Path)
	if q == nil {
		return refuse(AnswerNoQueue, "no queue at this host and path")
	}
	team, known := s.keys[r.Key]
	if !known && !q.Open {
		return refuse(AnswerUnknownKey, "key not in the document")
	}
	id := strings.Trim(strings.TrimPrefix(r.Path, q.Prefix), "/")
	if r.Verb == VerbState && id == "" {
		r.Verb = VerbPending
	}
	if r.Verb != VerbPending && !isJobID(id) {
		return refuse(AnswerMalformed, "path: the id of a job is 16 hexadecimal digits")
	}
	return Target{Queue: q, Team: team, Job: id}, nil
}

// JobFor returns the job of a target if the request may read and cancel it. Where a key is
// needed it gives access to the jobs of its own team only: on a queue that is not open, and
// for a job of such a queue also when the request names an open one.
func (s *State) JobFor(t *Target) (*Job, bool) {
	j, ok := s.jobs[t.Job]
	if !ok {
		return nil, false
	}
	own, known := s.QueueOf(j)
	open := t.Queue.Open && (!known || own.Open)
	if !open && j.Team != t.Team {
		return nil, false
	}
	return j, true
}

// queueAt returns the queue of a host whose prefix is the longest match of a path.
func (s *State) queueAt(host, path string) *Queue {
	var best *Queue
	for i := range s.doc.Queues {
		q := &s.doc.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best
}

func isJobID(id string) bool {
	if len(id) != jobIDLen {
		return false
	}
	for _, c := range id {
		if !strings.ContainsRune("0123456789abcdefABCDEF", c) {
			return false
		}
	}
	return true
}
