package peerlink

import "sync/atomic"

// Stats holds the traffic counters of a node's links.
type Stats struct {
	framesSent, bytesSent         atomic.Int64
	framesReceived, bytesReceived atomic.Int64
	framesDropped, peersRefused   atomic.Int64
	handlerPanics                 atomic.Int64
}

// StatsSnapshot is a copy of the counters.
type StatsSnapshot struct {
	FramesSent, BytesSent         int64
	FramesReceived, BytesReceived int64
	FramesDropped, PeersRefused   int64
	// HandlerPanics is the number of calls and notifications whose handler
	// panicked.
	HandlerPanics int64
}

func (s *Stats) addSent(n int) {
	s.framesSent.Add(1)
	s.bytesSent.Add(int64(n))
}

func (s *Stats) addReceived(n int) {
	s.framesReceived.Add(1)
	s.bytesReceived.Add(int64(n))
}

func (s *Stats) addDropped() { s.framesDropped.Add(1) }
func (s *Stats) addRefused() { s.peersRefused.Add(1) }

func (s *Stats) snapshot() StatsSnapshot {
	return StatsSnapshot{
		FramesSent:     s.framesSent.Load(),
		BytesSent:      s.bytesSent.Load(),
		FramesReceived: s.framesReceived.Load(),
		BytesReceived:  s.bytesReceived.Load(),
		FramesDropped:  s.framesDropped.Load(),
		PeersRefused:   s.peersRefused.Load(),
		HandlerPanics:  s.handlerPanics.Load(),
	}
}
