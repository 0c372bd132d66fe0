package daemon

import (
	"context"

	"magnoliastand.example/dispatch/record"
	"magnoliastand.example/peerlink"
)

// recordPeers carries the messages of request records over peer links. It
// implements record.Peers.
type recordPeers struct {
	link *peerlink.Node
}

// Begin implements record.Peers.
func (p recordPeers) Begin(ctx context.Context, daemon string, r record.BeginRequest) (record.BeginReply, error) {
	var reply record.BeginReply
	err := p.link.Call(ctx, daemon, methodRecordBegin, r, &reply)
	return reply, err
}

// Finish implements record.Peers.
func (p recordPeers) Finish(ctx context.Context, daemon string, r record.FinishRequest) error {
	return p.link.Call(ctx, daemon, methodRecordFinish, r, nil)
}

// Lookup implements record.Peers.
func (p recordPeers) Lookup(ctx context.Context, daemon string, r record.LookupRequest) (record.LookupReply, error) {
	var reply record.LookupReply
	err := p.link.Call(ctx, daemon, methodRecordLookup, r, &reply)
	return reply, err
}

// Hold implements record.HandOverPeers.
func (p recordPeers) Hold(ctx context.Context, daemon string, r record.HoldRequest) error {
	return p.link.Call(ctx, daemon, methodRecordHold, r, nil)
}

// Inherit implements record.HandOverPeers.
func (p recordPeers) Inherit(ctx context.Context, daemon string, r record.InheritRequest) (record.InheritReply, error) {
	var reply record.InheritReply
	err := p.link.Call(ctx, daemon, methodRecordInherit, r, &reply)
	return reply, err
}

// serveRecords answers the record messages of peers from svc.
func serveRecords(link *peerlink.Node, svc *record.Service) {
	link.Handle(methodRecordBegin, func(_ context.Context, _ peerlink.Identity, payload []byte) (any, error) {
		var r record.BeginRequest
		if err := decodeMessage(payload, &r); err != nil {
			return nil, err
		}
		return svc.HandleBegin(r), nil
	})
	link.Handle(methodRecordFinish, func(_ context.Context, _ peerlink.Identity, payload []byte) (any, error) {
		var r record.FinishRequest
		if err := decodeMessage(payload, &r); err != nil {
			return nil, err
		}
		svc.HandleFinish(r)
		return nil, nil
	})
	link.Handle(methodRecordLookup, func(ctx context.Context, _ peerlink.Identity, payload []byte) (any, error) {
		var r record.LookupRequest
		if err := decodeMessage(payload, &r); err != nil {
			return nil, err
		}
		return svc.HandleLookup(ctx, r), nil
	})
	link.Handle(methodRecordHold, func(_ context.Context, from peerlink.Identity, payload []byte) (any, error) {
		var r record.HoldRequest
		if err := decodeMessage(payload, &r); err != nil {
			return nil, err
		}
		if r.Daemon != from.Name {
			return nil, errNotOwn
		}
		return nil, svc.HandleHold(r)
	})
	link.Handle(methodRecordInherit, func(_ context.Context, from peerlink.Identity, payload []byte) (any, error) {
		var r record.InheritRequest
		if err := decodeMessage(payload, &r); err != nil {
			return nil, err
		}
		if r.Daemon != from.Name {
			return nil, errNotOwn
		}
		return svc.HandleInherit(r), nil
	})
}

// errNotOwn means that a daemon asked for the records of another one.
var errNotOwn = &peerlink.RemoteError{Code: "not-own", Detail: "a daemon hands over and inherits its own records only"}
