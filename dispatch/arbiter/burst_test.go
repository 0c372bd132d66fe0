package arbiter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/endpoint"
	"magnoliastand.example/fairshare"
)

// Parameters of the simulated service, which has the size of the users' services.
const (
	burstEndpoints  = 12
	burstSlots      = 8
	burstTotalSlots = burstEndpoints * burstSlots
	burstPeak       = 10 * time.Second
	burstSettle     = 4 * time.Second // start of a peak, excluded from measurement while the slots fill up
	burstPause      = 5 * time.Second // time for the remaining work of a peak to finish
	burstTick       = 10 * time.Millisecond
	// burstLoad is the peak load as a multiple of the total slots.
	burstLoad = 1.5
	// burstIdleLoad is the load between peaks as a fraction of burstLoad: a
	// twentieth of the mean, where the peak is five times the mean.
	burstIdleLoad = 0.01
)

// Required results. Times are in milliseconds.
const (
	targetUtilization     = 0.97 // fraction of the slots, while a quick queue peaks
	targetLongUtilization = 0.85 // fraction of the slots, while the long queue peaks; excludes the quick reserve
	targetShareError      = 0.05
	targetQuickWait       = 100.0
	targetLongWait        = 1000.0
	targetRefusal         = 100.0
)

// stream describes the load of one queue.
type stream struct {
	queue     string
	class     api.Class
	run       time.Duration // mean, exponentially distributed
	waitLimit time.Duration
}

var burstStreams = []stream{
	{"quote", api.ClassQuick, 30 * time.Millisecond, time.Second},
	{"book", api.ClassQuick, 60 * time.Millisecond, 2 * time.Second},
	{"reconcile", api.ClassLong, 2 * time.Second, 30 * time.Second},
}

// noPeak is the stream index used between peaks.
const noPeak = -1

// burstTeams are six teams with skewed load. Demand is the fraction of all asks.
var burstTeams = []struct {
	name   string
	share  int
	demand float64
}{
	{"t0", 1, 0.50}, {"t1", 10, 0.20}, {"t2", 4, 0.12}, {"t3", 2, 0.08}, {"t4", 2, 0.05}, {"t5", 1, 0.05},
}

// simRequest is a simulated request, from its ask to its end.
type simRequest struct {
	asked, began, ends time.Time
	stream, peak       int
	team               string
	grant              dispatch.GrantID
}

// burst simulates one service whose queues peak in turn.
type burst struct {
	rng          *rand.Rand
	now          time.Time
	load         float64 // peak load as a multiple of the total slots
	peak         int
	settledAt    time.Time
	arb          *Arbiter
	reg          *endpoint.Registry
	nextID       int
	asks         map[string]simRequest
	running      []*simRequest
	slotTime     time.Duration            // slot time used since settledAt
	teamSlotTime map[string]time.Duration // slot time used by each team since settledAt
	offered      map[string]time.Duration // expected slot time of each team's asks since settledAt

	quick, long, refused *hdrhistogram.Histogram // microseconds
	started              int
	maxWaiting           int // largest number of asks waiting at once
}

func newBurst(seed uint64, maxQueued int, mut mutations) *burst {
	svc := api.Service{Name: "counter", SlotsPerEndpoint: burstSlots, LongestRun: api.Duration(time.Minute)}
	for _, s := range burstStreams {
		q := api.Queue{Name: s.queue, Class: s.class, MaxQueued: maxQueued, MaxWait: api.Duration(s.waitLimit)}
		svc.Queues = append(svc.Queues, q)
	}
	doc := api.Document{Services: []api.Service{svc}}
	for _, t := range burstTeams {
		doc.Teams = append(doc.Teams, api.Team{Name: t.name, Share: t.share})
	}
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	}
	b := &burst{
		rng:          rand.New(rand.NewPCG(seed, 3)),
		now:          epoch,
		load:         burstLoad,
		reg:          endpoint.NewRegistry(endpoint.Options{Lease: time.Hour}),
		asks:         make(map[string]simRequest),
		teamSlotTime: make(map[string]time.Duration),
		offered:      make(map[string]time.Duration),
		quick:        histogram(),
		long:         histogram(),
		refused:      histogram(),
	}
	for i := range burstEndpoints {
		if _, err := b.reg.Announce(b.now, fmt.Sprint("e", i), announce("1", burstSlots)); err != nil {
			panic(err)
		}
	}
	b.arb = newArbiter(b.now, firstTermOptions(), mut, NewConfig(doc), b.reg, unlimited{})
	return b
}

// runPeak runs the simulation for d with the given stream, or noPeak, at its peak.
func (b *burst) runPeak(peak int, d time.Duration) {
	b.peak = peak
	b.settledAt = b.now.Add(burstSettle)
	b.slotTime = 0
	clear(b.teamSlotTime)
	clear(b.offered)
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(time.Millisecond)
		b.release()
		for i := range burstStreams {
			b.arrive(i)
		}
		if b.now.Sub(epoch)%burstTick == 0 {
			b.handleEvents(b.arb.Tick(b.now))
			b.sample()
		}
	}
}

// sample adds the slot time used in one tick.
func (b *burst) sample() {
	b.maxWaiting = max(b.maxWaiting, b.arb.Stats().Waiting)
	if !b.now.After(b.settledAt) {
		return
	}
	b.slotTime += time.Duration(len(b.running)) * burstTick
	for _, r := range b.running {
		b.teamSlotTime[r.team] += burstTick
	}
}

// release releases the grants of requests that have ended.
func (b *burst) release() {
	var due []*simRequest
	b.running = slices.DeleteFunc(b.running, func(r *simRequest) bool {
		if r.ends.After(b.now) {
			return false
		}
		due = append(due, r)
		return true
	})
	for _, r := range due {
		rel := dispatch.Release{Grant: r.grant, Outcome: dispatch.OutcomeAnswered, Elapsed: r.ends.Sub(r.began)}
		b.handleEvents(b.arb.Release(b.now, rel))
	}
}

// arrive submits the asks of one stream for one millisecond, with Poisson
// arrivals.
func (b *burst) arrive(i int) {
	s := burstStreams[i]
	load := burstLoad * burstIdleLoad
	if i == b.peak {
		load = b.load
	}
	mean := load * burstTotalSlots * float64(time.Millisecond) / float64(s.run)
	for p := b.rng.Float64(); p > math.Exp(-mean); p *= b.rng.Float64() {
		b.nextID++
		id := fmt.Sprint("r", b.nextID)
		team := b.randomTeam()
		b.asks[id] = simRequest{asked: b.now, stream: i, peak: b.peak, team: team}
		if b.now.After(b.settledAt) {
			b.offered[team] += s.run
		}
		ask := testAsk(id, team, s.queue)
		ask.Patience = s.waitLimit
		b.handleEvents(b.arb.Ask(b.now, ask))
	}
}

func (b *burst) randomTeam() string {
	x := b.rng.Float64()
	for _, t := range burstTeams {
		if x -= t.demand; x < 0 {
			return t.name
		}
	}
	return burstTeams[0].name
}

func (b *burst) handleEvents(events []Event) {
	for _, ev := range slices.Clone(events) {
		switch ev := ev.(type) {
		case Granted:
			j := b.endWait(ev.Grant.RequestID)
			b.started++
			j.began = b.now
			j.ends = b.now.Add(time.Duration(b.rng.ExpFloat64() * float64(burstStreams[j.stream].run)))
			j.grant = ev.Grant.ID
			b.running = append(b.running, &j)
		case Refused:
			j := b.endWait(ev.RequestID)
			_ = b.refused.RecordValue(b.now.Sub(j.asked).Microseconds())
		}
	}
}

// endWait removes a waiting ask and records its wait if it arrived during the
// peak of another queue.
func (b *burst) endWait(id string) simRequest {
	j := b.asks[id]
	delete(b.asks, id)
	wait := b.now.Sub(j.asked).Microseconds()
	switch {
	case j.peak == j.stream || j.peak == noPeak:
	case burstStreams[j.stream].class == api.ClassLong:
		_ = b.long.RecordValue(wait)
	default:
		_ = b.quick.RecordValue(wait)
	}
	return j
}

// shareError returns the fraction of all slot time in the latest peak that was
// misallocated, relative to a weighted max-min allocation of the offered load.
func (b *burst) shareError() float64 {
	span := (burstPeak - burstSettle).Seconds()
	var demands []fairshare.Demand
	for _, t := range burstTeams {
		demands = append(demands, fairshare.Demand{Amount: b.offered[t.name].Seconds() / span, Weight: float64(t.share)})
	}
	misallocated := 0.0
	for i, fair := range fairshare.MaxMin(burstTotalSlots, demands) {
		misallocated += math.Abs(b.teamSlotTime[burstTeams[i].name].Seconds()/span - fair)
	}
	return misallocated / 2 / burstTotalSlots
}

// burstResult holds the measurements of a simulation.
type burstResult struct {
	utilization []float64 // fraction of the slots used, by the stream at its peak
	shareError  float64   // maximum over the peaks of quick queues
	quickWait   float64   // 99th percentile for quick asks during another queue's peak
	longWait    float64   // maximum for long asks during another queue's peak
	refusal     float64   // 90th percentile of the time to a refusal
	started     int
	refused     int64
	maxWaiting  int
}

// run gives each stream a peak in turn, followed by a pause.
func (b *burst) run(streams []stream) burstResult {
	var res burstResult
	for i, s := range streams {
		b.runPeak(i, burstPeak)
		res.utilization = append(res.utilization, b.slotTime.Seconds()/(burstPeak-burstSettle).Seconds()/burstTotalSlots)
		if s.class == api.ClassQuick {
			res.shareError = max(res.shareError, b.shareError())
		}
		b.runPeak(noPeak, burstPause)
	}
	millis := func(h *hdrhistogram.Histogram, q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / 1000
	}
	res.quickWait = millis(b.quick, 99)
	res.longWait = millis(b.long, 100)
	res.refusal = millis(b.refused, 90)
	res.started = b.started
	res.refused = b.refused.TotalCount()
	res.maxWaiting = b.maxWaiting
	return res
}

func (res burstResult) check(t *testing.T) {
	t.Helper()
	t.Logf("%+v", res)
	for i, use := range res.utilization {
		if use < targetLongUtilization || burstStreams[i].class == api.ClassQuick && use < targetUtilization {
			t.Errorf("utilization %.3f while %s peaks", use, burstStreams[i].queue)
		}
	}
	if res.shareError > targetShareError {
		t.Errorf("share error %.3f", res.shareError)
	}
	if res.quickWait > targetQuickWait || res.longWait > targetLongWait {
		t.Errorf("wait is %.1f ms for quick work, %.1f ms for long work", res.quickWait, res.longWait)
	}
	if res.refusal > targetRefusal || res.maxWaiting > 2*defaultMaxQueued {
		t.Errorf("time to refusal is %.1f ms, up to %d asks waiting", res.refusal, res.maxWaiting)
	}
}

func TestBurstTargets(t *testing.T) {
	for seed := range uint64(2) {
		newBurst(seed, defaultMaxQueued, mutations{}).run(burstStreams).check(t)
	}
}

// TestOverload checks the targets at five times the capacity of all slots.
func TestOverload(t *testing.T) {
	b := newBurst(1, defaultMaxQueued, mutations{})
	b.load = 5
	b.run(burstStreams[:1]).check(t)
}

// TestBurstProtectionsMatter checks that each scheduling rule is needed for its
// target: with the rule disabled, the target is missed.
func TestBurstProtectionsMatter(t *testing.T) {
	const deep = 1 << 15 // large enough that no queue becomes full
	quote := func(maxQueued int, mut mutations) burstResult {
		return newBurst(0, maxQueued, mut).run(burstStreams[:1])
	}
	if res := quote(defaultMaxQueued, mutations{noReserve: true}); res.longWait <= targetLongWait {
		t.Errorf("without reserves: long work waits %.1f ms, want more than the target", res.longWait)
	}
	fair := quote(deep, mutations{noEarlyRefusal: true})
	unfair := quote(deep, mutations{noEarlyRefusal: true, firstComeFirst: true})
	if fair.shareError > targetShareError || unfair.shareError <= targetShareError {
		t.Errorf("share error %.3f by share, %.3f in order of arrival", fair.shareError, unfair.shareError)
	}
	early := quote(deep, mutations{})
	if early.refusal > targetRefusal || fair.refusal <= targetRefusal {
		t.Errorf("time to refusal: %.1f ms with and %.1f ms without early refusal", early.refusal, fair.refusal)
	}
	if early.utilization[0] < fair.utilization[0]-0.01 {
		t.Errorf("early refusal reduces utilization: %.3f, without it %.3f", early.utilization, fair.utilization)
	}
}
