package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
)

// OutcomeKind classifies what a caller was told in the end.
type OutcomeKind string

// Outcomes of a request.
const (
	// OutcomeAnswered means a whole answer with a status below 500.
	OutcomeAnswered OutcomeKind = "answered"
	// OutcomeFailed means an endpoint's whole answer with a status of 500 or more.
	OutcomeFailed OutcomeKind = "failed"
	// OutcomeRefused means that the last word was "not run".
	OutcomeRefused OutcomeKind = "refused"
	// OutcomeUnknown means that the last word was that the request may have run.
	OutcomeUnknown OutcomeKind = "unknown"
	// OutcomeLost means that no send brought any answer.
	OutcomeLost OutcomeKind = "lost"
	// OutcomeWrong means an answer that is not whole or not the request's own.
	OutcomeWrong OutcomeKind = "wrong"
	// OutcomeNotSent means that no id could be had, so nothing was sent.
	OutcomeNotSent OutcomeKind = "not-sent"
)

// Outcome is what a caller was told about one request.
type Outcome struct {
	ID         string        `json:"id"`
	Queue      string        `json:"queue"`
	Idempotent bool          `json:"idempotent"`
	Kind       OutcomeKind   `json:"kind"`
	Code       api.Code      `json:"code,omitempty"`
	Status     int           `json:"status,omitempty"`
	Sends      int           `json:"sends"`
	Latency    time.Duration `json:"latency"`
	Detail     string        `json:"detail,omitempty"`
}

// send takes one request to its outcome. It resends to the next daemon, with
// the same id, when an answer was lost.
func (c *Caller) send(ctx context.Context, a arrival) Outcome {
	o := Outcome{ID: a.id, Queue: a.stream.Queue, Idempotent: a.stream.Idempotent, Kind: OutcomeLost}
	if c.cfg.IDs == IDHome {
		id, err := c.homeID(ctx, a.first)
		if err != nil {
			o.Kind = OutcomeNotSent
			o.Detail = err.Error()
			return o
		}
		a.id, o.ID = id, id
	}
	for n := range c.cfg.MaxSends {
		daemon := c.cfg.Daemons[(a.first+n)%len(c.cfg.Daemons)]
		o.Sends++
		c.sendOnce(ctx, daemon, a, &o)
		again := o.Kind == OutcomeLost && a.id != "" || o.Kind == OutcomeRefused && c.cfg.ResendRefused && a.id != ""
		if !again || n == c.cfg.MaxSends-1 || !sleepUntil(ctx, time.Now().Add(c.cfg.ResendPause)) {
			break
		}
	}
	o.Latency = time.Since(a.at)
	return o
}

// homeID asks the daemons in turn for a request id.
func (c *Caller) homeID(ctx context.Context, first int) (string, error) {
	var last error
	for n := range c.cfg.Daemons {
		daemon := c.cfg.Daemons[(first+n)%len(c.cfg.Daemons)]
		id, err := c.homeIDAt(ctx, daemon)
		if err == nil {
			return id, nil
		}
		last = err
	}
	return "", last
}

func (c *Caller) homeIDAt(ctx context.Context, daemon string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+daemon+"/v1/home", nil)
	if err != nil {
		return "", errors.Wrap(err, "home")
	}
	res, err := c.client.Do(req)
	if err != nil {
		return "", errors.Wrapf(err, "home of %s", daemon)
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxReplyBytes))
	id := res.Header.Get(api.HeaderRequestID)
	if res.StatusCode != http.StatusOK || id == "" {
		return "", errors.Errorf("home of %s: status %d", daemon, res.StatusCode)
	}
	return id, nil
}

// sendOnce sends the request to one daemon and updates the outcome. A lost
// answer leaves an earlier word as it is.
func (c *Caller) sendOnce(ctx context.Context, daemon string, a arrival, o *Outcome) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	target := "http://" + daemon + "/v1/queues/" + a.stream.Queue + "/requests"
	if c.cfg.Direct {
		target = "http://" + daemon + "/"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(a.body))
	if err != nil {
		o.Detail = err.Error()
		return
	}
	if a.id != "" {
		req.Header.Set(api.HeaderRequestID, a.id)
	}
	if c.cfg.Direct {
		req.Header.Set(api.HeaderQueue, a.stream.Queue)
	}
	if a.stream.Key != "" {
		req.Header.Set("Authorization", "Bearer "+a.stream.Key)
	}
	if c.cfg.Timeout > 0 {
		req.Header.Set(api.HeaderDeadline, c.cfg.Timeout.String())
	}
	res, err := c.client.Do(req)
	if err != nil {
		o.Kind, o.Detail = OutcomeLost, err.Error()
		return
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		o.Kind, o.Detail = OutcomeLost, err.Error()
		return
	}
	if c.cfg.Direct {
		classifyDirect(res, body, a, o)
		return
	}
	classify(res, body, a, o)
}

// classifyDirect judges a whole HTTP response of an endpoint.
func classifyDirect(res *http.Response, body []byte, a arrival, o *Outcome) {
	o.Status, o.Detail = res.StatusCode, ""
	if api.Run(res.Header.Get(api.HeaderRun)) == api.RunNot {
		o.Kind = OutcomeRefused
		return
	}
	classifyAnswer(res, body, a, o)
}

// classify judges a whole HTTP response of a daemon.
func classify(res *http.Response, body []byte, a arrival, o *Outcome) {
	id := res.Header.Get(api.HeaderRequestID)
	o.Status, o.Code, o.Detail = res.StatusCode, "", ""
	if a.id == "" {
		o.ID = id
	}
	run := api.Run(res.Header.Get(api.HeaderRun))
	if run == api.RunDone {
		classifyAnswer(res, body, a, o)
		return
	}
	var p api.Problem
	if err := json.Unmarshal(body, &p); err != nil || p.Run != run {
		o.Kind, o.Detail = OutcomeWrong, "no problem document, or one that contradicts the header"
		return
	}
	o.Code, o.Detail = p.Code, p.Detail
	switch run {
	case api.RunNot:
		o.Kind = OutcomeRefused
	case api.RunUnknown:
		o.Kind = OutcomeUnknown
	default:
		o.Kind, o.Detail = OutcomeWrong, "Request-Run: "+string(run)
	}
}

func classifyAnswer(res *http.Response, body []byte, a arrival, o *Outcome) {
	id := res.Header.Get(api.HeaderRequestID)
	switch {
	case id != o.ID || !WholeOwnAnswer(body, id, a.stream.Queue, a.body):
		o.Kind, o.Detail = OutcomeWrong, "the answer is not whole or not the request's own"
	case res.StatusCode >= http.StatusInternalServerError:
		o.Kind = OutcomeFailed
	default:
		o.Kind = OutcomeAnswered
	}
}
