package quota

import (
	"fmt"
	"testing"
	"time"
)

const (
	benchTeams = 190
	benchZones = 21
)

// benchLedger returns a ledger and a balancer of the expected size, with demand.
func benchLedger() (*Ledger, *Balancer) {
	l, b := NewLedger(DefaultBounds()), NewBalancer(1)
	var limits []TeamLimit
	for t := range benchTeams {
		limits = append(limits, TeamLimit{Team: fmt.Sprintf("team-%d", t), Limit: 100})
	}
	l.SetLimits(limits)
	for z := range benchZones {
		zone := fmt.Sprintf("zone-%02d", z)
		l.SetTerm(zone, 1, 1)
		d := Demand{Zone: zone, Term: 1, Seq: 1}
		for t := range benchTeams {
			d.Teams = append(d.Teams, TeamDemand{Team: fmt.Sprintf("team-%d", t), Running: int64((t + z) % 3), Waiting: int64(z % 4)})
		}
		b.Report(&d)
	}
	c := b.Plan(l, 0)
	l.Apply(&c)
	return l, b
}

// BenchmarkPlan measures plans of all teams and of ten teams with changed demand.
func BenchmarkPlan(b *testing.B) {
	for name, step := range map[string]time.Duration{"all-teams": fullPlanInterval, "ten-teams": 0} {
		b.Run(name, func(b *testing.B) {
			l, bal := benchLedger()
			d := Demand{Zone: "zone-01", Term: 1}
			for t := range 10 {
				d.Teams = append(d.Teams, TeamDemand{Team: fmt.Sprintf("team-%d", t), Running: 1})
			}
			now := time.Duration(0)
			for b.Loop() {
				now += step
				for _, z := range bal.sessions {
					z.lastReportAt = now
				}
				d.Seq++
				bal.Report(&d)
				c := bal.Plan(l, now)
				l.Apply(&c)
			}
		})
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	l, _ := benchLedger()
	h := NewHolder("zone-01", 1, DefaultBounds(), func() time.Duration { return 0 })
	r, _ := l.Renewal("zone-01", 1, 1)
	h.Renew(&r, 0)
	b.ReportAllocs()
	for b.Loop() {
		if !h.Acquire("team-1") {
			b.Fatal("no unit could be acquired")
		}
		h.Release("team-1")
	}
}
