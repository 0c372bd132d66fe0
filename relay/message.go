package relay

import (
	"context"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"magnoliastand.example/codec"
	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// Method names on peer links.
const (
	methodOrders   = "relay.orders"
	methodOutcomes = "relay.outcomes"
	methodProbe    = "relay.probe"
)

// Limits on decoded input. A batch holds at most maxBatchWeight orders, or
// outcomes and rows of their lists.
const (
	maxItems = 4 * maxBatchWeight
	maxDepth = 16
)

var decMode = codec.Decoder(codec.Limits{Items: maxItems, Depth: maxDepth})

// probeRequest asks whether an agent accepts orders.
type probeRequest struct {
	// SentAt is the sender's clock.Boot.
	SentAt time.Duration `cbor:"1,keyasint"`
}

// orderBatch is a batch of orders for an agent.
type orderBatch struct {
	// SentAt is the sender's clock.Boot.
	SentAt time.Duration `cbor:"1,keyasint"`
	Orders []*order      `cbor:"2,keyasint"`
}

// order is one call to a worker. Exactly one of Start, Stop, Pace and Hold is set.
type order struct {
	// Seq identifies the order within the lifetime of the sending Relay.
	Seq    uint64            `cbor:"1,keyasint"`
	Worker platform.Endpoint `cbor:"2,keyasint"`
	// Timeout is the time limit of the call, which starts when the agent makes it.
	Timeout workload.Millis      `cbor:"3,keyasint"`
	Start   *platform.StartOrder `cbor:"4,keyasint,omitempty"`
	Stop    *stopOrder           `cbor:"5,keyasint,omitempty"`
	Pace    *paceOrder           `cbor:"6,keyasint,omitempty"`
	Hold    *platform.HoldOrder  `cbor:"7,keyasint,omitempty"`
}

type stopOrder struct {
	_     struct{} `cbor:",toarray"`
	Task  workload.TaskRef
	Run   int64
	Fence uint64
}

type paceOrder struct {
	_       struct{} `cbor:",toarray"`
	Task    workload.TaskRef
	Run     int64
	Percent int
	Fence   uint64
}

// weight returns the approximate size of an order in units of 100 bytes.
func (o *order) weight() int {
	if o.Start == nil {
		return 1
	}
	return 1 + (len(o.Start.Payload)+len(o.Start.Checkpoint)+len(o.Start.Ticket))/100
}

// failure identifies the error of a call among those that callers distinguish.
type failure uint8

const (
	succeeded failure = iota
	// noAnswer means that the order may have been executed or may still be.
	noAnswer
	notSent
	busy
	refused
	otherIncarnation
)

// String returns the metric label of a failure. Unknown values count as noAnswer.
func (f failure) String() string {
	names := [...]string{"ok", "no-answer", "not-sent", "busy", "refused", "other-incarnation"}
	if int(f) >= len(names) {
		return names[noAnswer]
	}
	return names[f]
}

// outcome is the result of an order.
type outcome struct {
	Seq     uint64  `cbor:"1,keyasint"`
	Failure failure `cbor:"2,keyasint,omitempty"`
	// Status and Reason are set for refusals, Detail for other failures.
	Status int             `cbor:"3,keyasint,omitempty"`
	Reason platform.Reason `cbor:"4,keyasint,omitempty"`
	Detail string          `cbor:"5,keyasint,omitempty"`
	// Clock is set for a start, Lists for a hold.
	Clock workload.Millis `cbor:"6,keyasint,omitempty"`
	Lists *platform.Lists `cbor:"7,keyasint,omitempty"`
}

// weight returns the approximate size of an outcome in units of 100 bytes.
func (o *outcome) weight() int {
	if o.Lists == nil {
		return 1
	}
	checkpoints := 0
	for i := range o.Lists.Ended {
		checkpoints += len(o.Lists.Ended[i].Checkpoint)
	}
	return 1 + len(o.Lists.Running) + len(o.Lists.Ended) + checkpoints/100
}

// setError encodes the error of a call; err decodes it.
func (o *outcome) setError(err error) {
	var refusal *platform.Refusal
	switch {
	case err == nil:
		return
	case errors.As(err, &refusal):
		o.Failure, o.Status, o.Reason = refused, refusal.Status, refusal.Reason
		return
	case errors.Is(err, platform.ErrOtherIncarnation):
		o.Failure = otherIncarnation
	case errors.Is(err, platform.ErrNotSent):
		o.Failure = notSent
	case errors.Is(err, platform.ErrBusy):
		o.Failure = busy
	default:
		o.Failure = noAnswer
	}
	o.Detail = detail(err)
}

// maxDetail is the maximum size of an error's text in an outcome, in bytes.
const maxDetail = 1024

// detail returns the text of an error, cut short, as text that can be decoded.
func detail(err error) string {
	text := err.Error()
	return strings.ToValidUTF8(text[:min(len(text), maxDetail)], string(utf8.RuneError))
}

// err returns the error of the call, or nil if it succeeded.
func (o *outcome) err() error {
	switch o.Failure {
	case succeeded:
		return nil
	case refused:
		return &platform.Refusal{Status: o.Status, Reason: o.Reason}
	case otherIncarnation:
		return platform.ErrOtherIncarnation
	case notSent:
		return errors.Wrap(platform.ErrNotSent, o.Detail)
	case busy:
		return errors.Wrap(platform.ErrBusy, o.Detail)
	}
	return errors.Wrap(ErrNoAnswer, o.Detail)
}

// execute calls the worker of an order.
func (o *order) execute(ctx context.Context, to platform.Workers) *outcome {
	out := &outcome{Seq: o.Seq}
	var err error
	switch {
	case o.Start != nil:
		out.Clock, err = to.Start(ctx, o.Worker, o.Start)
	case o.Stop != nil:
		err = to.Stop(ctx, o.Worker, o.Stop.Task, o.Stop.Run, o.Stop.Fence)
	case o.Pace != nil:
		err = to.Pace(ctx, o.Worker, o.Pace.Task, o.Pace.Run, o.Pace.Percent, o.Pace.Fence)
	case o.Hold != nil:
		out.Lists, err = to.Hold(ctx, o.Worker, o.Hold)
	default:
		err = errors.Wrap(platform.ErrNotSent, "unknown order type")
	}
	out.setError(err)
	return out
}
