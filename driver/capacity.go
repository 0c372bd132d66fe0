package driver

import (
	"time"

	"magnoliastand.example/workload"
)

// logCapacity logs and counts a change of a worker's capacity while it runs.
func (d *Driver) logCapacity(old, next *workload.Worker) {
	reason := "grown"
	if !old.Capacity.Fits(next.Capacity) {
		reason = "shrunk"
	}
	reserved := d.state.Reserved(next.ID)
	d.cfg.Metrics.Decisions.WithLabelValues("capacity", reason).Inc()
	d.cfg.Logger.Info().Str("worker", next.ID).Int64("incarnation", next.Incarnation).Str("reason", reason).
		Ints64("old", amounts(old.Capacity)).Ints64("new", amounts(next.Capacity)).Ints64("reserved", amounts(reserved)).
		Bool("over", !reserved.Fits(next.Capacity)).Uint64("term", d.cfg.Term).Msg("worker changed its capacity")
}

// amounts returns a size for a log line: millicores, megabytes and devices.
func amounts(s workload.Size) []int64 { return []int64{s.Processors, s.MemoryMB, s.Accelerators} }

// knowsCapacity reports whether a worker has announced itself of late, to this leader or to
// the one before. Its replies to holds don't show its capacity.
func (d *Driver) knowsCapacity(s *session, now time.Time) bool {
	return now.Sub(s.announcedAt) < maxCapacityAge*d.cfg.Timing.Announce
}

// lastAnnounced returns when an earlier leader last heard of the workers in the state, half
// an interval of announcements before its last command on average. It is long ago if the clocks
// of both leaders don't fit.
func (d *Driver) lastAnnounced(now time.Time) time.Time {
	age := time.Duration(now.UnixMilli()-d.state.AppliedAt()) * time.Millisecond
	if age < 0 {
		return time.Time{}
	}
	return now.Add(-age - d.cfg.Timing.Announce/2)
}

// knewCapacities reports whether the capacities in the log were recent when the driver
// started, or the workers have had time to announce themselves since.
func (d *Driver) knewCapacities(now time.Time) bool {
	return d.started.Sub(d.announcedBefore) < maxCapacityAge*d.cfg.Timing.Announce || now.Sub(d.started) >= d.cfg.Timing.Announce
}

// withinCapacity reports whether a run that is to be started fits on its worker beside the
// runs that were assigned before it. The capacity may have shrunk since the assignment.
func (d *Driver) withinCapacity(r *run, s *session) bool {
	reserved := d.state.Reserved(r.worker)
	if reserved.Fits(s.worker.Capacity) {
		return true
	}
	for _, o := range d.runsOn(r.worker, r.incarnation) {
		if o.phase == phaseCommitting && o.serial > r.serial {
			reserved = reserved.Sub(o.step().Reserved())
		}
	}
	return reserved.Fits(s.worker.Capacity)
}

// withdrawRepeats keeps start orders without a reply from being sent again to a worker that
// drains, is over its capacity or is in an evacuated zone. Whether they were carried out is
// settled by its lists. In an evacuated zone, orders that were not sent yet are withheld too.
func (d *Driver) withdrawRepeats(w *workload.Worker) {
	evacuated := d.state.IsEvacuated(w.Zone)
	if !w.Draining && !evacuated && d.state.Reserved(w.ID).Fits(w.Capacity) {
		return
	}
	for _, r := range d.runsOn(w.ID, w.Incarnation) {
		r.unrepeated.Store(true)
		if evacuated {
			r.withheld.Store(true)
		}
	}
}
