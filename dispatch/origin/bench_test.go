package origin

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/clock"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/record"
	"magnoliastand.example/standin"
)

// echoEndpoint starts a minimal endpoint for benchmarks and returns its address.
func echoEndpoint(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	body := bytes.Repeat([]byte{'x'}, 512)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID))
		_, _ = w.Write(body)
	})}
	go server.Serve(l)
	b.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

func benchOrigin(b *testing.B, target string, slots int) *Origin {
	self := dispatch.DaemonID{Name: "d1", Incarnation: "i1"}
	records := record.New(record.Config{Self: self, Zone: "za", FirstIncarnation: true})
	records.SetMembers([]record.Member{{Name: "d1", Zone: "za"}})
	o := New(Config{Self: self, Zone: "za", Control: longWaitControl{newFakeControl()}, Records: records, Slots: newFakeSlots(slots, target)})
	b.Cleanup(func() { o.Close(); records.Close() })
	return o
}

// longWaitControl sets a maximum wait of one minute.
type longWaitControl struct{ *fakeControl }

func (c longWaitControl) Queue(name string) (QueueInfo, bool) {
	info, ok := c.fakeControl.Queue(name)
	info.Queue.MaxWait = api.Duration(time.Minute)
	return info, ok
}

func serveOrigin(b *testing.B, o *Origin) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	mux := http.NewServeMux()
	o.Register(mux)
	server := &http.Server{Handler: mux}
	go server.Serve(l)
	b.Cleanup(func() { server.Close() })
	return "http://" + l.Addr().String() + "/v1/queues/book/requests"
}

// measure posts b.N requests sequentially and reports latency quantiles.
func measure(b *testing.B, url string, id func() string) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	body := bytes.Repeat([]byte{'y'}, 256)
	times := make([]time.Duration, 0, b.N)
	b.ReportAllocs()
	for b.Loop() {
		start := time.Now()
		req, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
		req.Header.Set("Authorization", "Bearer "+testKey)
		if id != nil {
			req.Header.Set(api.HeaderRequestID, id())
		}
		res, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close()
		if res.StatusCode != http.StatusOK {
			b.Fatalf("status %d", res.StatusCode)
		}
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	for name, q := range map[string]float64{"p50-µs": 0.5, "p99-µs": 0.99, "p999-µs": 0.999} {
		b.ReportMetric(float64(times[int(q*float64(len(times)-1))].Microseconds()), name)
	}
}

func BenchmarkDirect(b *testing.B) {
	measure(b, "http://"+echoEndpoint(b)+"/", nil)
}

func BenchmarkThroughOrigin(b *testing.B) {
	o := benchOrigin(b, echoEndpoint(b), 8)
	measure(b, serveOrigin(b, o), nil)
}

func BenchmarkThroughOriginWithHomeID(b *testing.B) {
	o := benchOrigin(b, echoEndpoint(b), 8)
	measure(b, serveOrigin(b, o), o.FreshID)
}

// BenchmarkHandle excludes HTTP between caller and origin.
func BenchmarkHandle(b *testing.B) {
	o := benchOrigin(b, echoEndpoint(b), 8)
	body := strings.Repeat("y", 256)
	b.ReportAllocs()
	for b.Loop() {
		r := o.Handle(context.Background(), &Request{
			Queue: "book", Key: testKey, Source: strings.NewReader(body), Length: int64(len(body)), Received: clock.Now(),
		})
		if r.Run != api.RunDone {
			b.Fatal(r.Problem)
		}
	}
}

// BenchmarkWaitingMemory reports the memory of a request that waits for a slot,
// with a body of 256 bytes, for Handle alone and with the caller's connection.
func BenchmarkWaitingMemory(b *testing.B) {
	const waiting = 2000
	b.Run("handle", func(b *testing.B) {
		o := benchOrigin(b, "127.0.0.1:1", 0)
		body := strings.Repeat("y", 256)
		measureWaiting(b, o, waiting, func(ctx context.Context) {
			o.Handle(ctx, &Request{
				Queue: "book", Key: testKey, Source: strings.NewReader(body), Length: int64(len(body)), Received: clock.Now(),
			})
		})
	})
	b.Run("connection", func(b *testing.B) {
		o := benchOrigin(b, "127.0.0.1:1", 0)
		url := serveOrigin(b, o)
		host, path, _ := strings.Cut(strings.TrimPrefix(url, "http://"), "/")
		head := "POST /" + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey +
			"\r\nContent-Length: 256\r\n\r\n" + strings.Repeat("y", 256)
		measureWaiting(b, o, waiting, func(ctx context.Context) {
			conn, err := net.Dial("tcp", host)
			if err != nil {
				b.Error(err)
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, head)
			<-ctx.Done()
		})
	})
}

func measureWaiting(b *testing.B, o *Origin, n int, send func(context.Context)) {
	for b.Loop() { // the measurement follows; Loop clears metrics reported before
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	heap, stack := memory()
	for range n {
		go func() {
			send(ctx)
			done <- struct{}{}
		}()
	}
	for o.InFlight() < n {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	heapNow, stackNow := memory()
	b.ReportMetric(float64(heapNow-heap)/float64(n), "heap-B/waiting")
	b.ReportMetric(float64(stackNow-stack)/float64(n), "stack-B/waiting")
	cancel()
	for range n {
		<-done
	}
	for o.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
}

func memory() (heap, stack int64) {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc), int64(m.StackInuse)
}

// BenchmarkHalfLoad sends open-loop arrivals at half the capacity of eight slots
// of 5 ms, directly and through an origin, and reports latency quantiles.
func BenchmarkHalfLoad(b *testing.B) {
	const rate = 800
	load := func(b *testing.B, address string, direct bool) {
		for b.Loop() { // one run below, whatever b.N is
		}
		caller, err := standin.NewCaller(standin.CallerConfig{
			Daemons: []string{address}, Direct: direct, IDs: standin.IDOwn, Rate: rate, Duration: 4 * time.Second, Seed: 3,
			Streams: []standin.Stream{{Queue: "book", Key: testKey, Weight: 1, BodyBytes: 256}},
		})
		if err != nil {
			b.Fatal(err)
		}
		report := caller.Run(b.Context())
		for name, q := range map[string]float64{"p50-µs": 50, "p99-µs": 99, "p999-µs": 99.9} {
			b.ReportMetric(float64(report.Latency.ValueAtQuantile(q)), name)
		}
		b.ReportMetric(float64(standin.Summarize(report.Outcomes).Answered)/float64(len(report.Outcomes)), "answered")
	}
	start := func(b *testing.B) string {
		e, err := standin.StartEndpoint(b.Context(), standin.EndpointConfig{
			Slots: 1000, Connections: 1000, RunTime: standin.Delay{Min: 5 * time.Millisecond}, AnswerBytes: 512,
		})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(e.Close)
		return e.Address()
	}
	b.Run("direct", func(b *testing.B) { load(b, start(b), true) })
	through := func(b *testing.B, slots int) {
		url := serveOrigin(b, benchOrigin(b, start(b), slots))
		host, _, _ := strings.Cut(strings.TrimPrefix(url, "http://"), "/")
		load(b, host, false)
	}
	b.Run("origin", func(b *testing.B) { through(b, 1000) })
	// With eight slots, the latency includes waits for a slot at random arrivals.
	b.Run("origin-8-slots", func(b *testing.B) { through(b, standin.DefaultSlots) })
}
