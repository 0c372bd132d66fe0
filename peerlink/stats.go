package peerlink

import "sync/atomic"

// Stats counts what went over a node's links.
type Stats struct {
	framesSent, bytesSent         atomic.Int64
	framesReceived, bytesReceived atomic.Int64
	framesDropped, peersRefused   atomic.Int64
}

// StatsSnapshot is a copy of the counts at one moment.
type StatsSnapshot struct {
	FramesSent, BytesSent         int64
	FramesReceived, BytesReceived int64
	FramesDropped, PeersRefused   int64
}

func (s *Stats) sent(n int) {
	s.framesSent.Add(1)
	s.bytesSent.Add(int64(n))
}

func (s *Stats) received(n int) {
	s.framesReceived.Add(1)
	s.bytesReceived.Add(int64(n))
}

func (s *Stats) dropped() { s.framesDropped.Add(1) }
func (s *Stats) refused() { s.peersRefused.Add(1) }

func (s *Stats) snapshot() StatsSnapshot {
	return StatsSnapshot{
		FramesSent:     s.framesSent.Load(),
		BytesSent:      s.bytesSent.Load(),
		FramesReceived: s.framesReceived.Load(),
		BytesReceived:  s.bytesReceived.Load(),
		FramesDropped:  s.framesDropped.Load(),
		PeersRefused:   s.peersRefused.Load(),
	}
}
