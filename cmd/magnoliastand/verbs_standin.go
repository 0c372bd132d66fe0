package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"magnoliastand.example/standin"
)

func endpointCommand(s streams) *ffcli.Command {
	fs := newFlags("endpoint", s)
	var cfg standin.EndpointConfig
	fs.StringVar(&cfg.ID, "id", "", "endpoint id")
	fs.StringVar(&cfg.Service, "service", "", "service of the document")
	fs.StringVar(&cfg.Instance, "instance", "", "instance that hosts it; default: the id")
	fs.StringVar(&cfg.Listen, "listen", "127.0.0.1:0", "address for requests")
	fs.IntVar(&cfg.Slots, "slots", standin.DefaultSlots, "requests run at once")
	fs.DurationVar(&cfg.RunTime.Min, "run-min", 0, "shortest run time")
	fs.DurationVar(&cfg.RunTime.Mean, "run-mean", 20*time.Millisecond, "mean of the exponential part of the run time")
	daemons := fs.String("daemons", devCallers, "caller addresses of daemons, by commas")
	return &ffcli.Command{
		Name:       "endpoint",
		ShortUsage: "magnoliastand endpoint --id ID --service NAME [--daemons ADDR,ADDR]",
		ShortHelp:  "Runs a stand-in endpoint for trials; GET /stand-in/stats on it tells what it ran.",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, _ []string) error {
			if cfg.ID == "" || cfg.Service == "" {
				return usageError("--id and --service are required")
			}
			if cfg.Instance == "" {
				cfg.Instance = cfg.ID
			}
			cfg.Daemons = strings.Split(*daemons, ",")
			return runEndpoint(ctx, s, cfg)
		},
	}
}

func runEndpoint(ctx context.Context, s streams, cfg standin.EndpointConfig) error {
	e, err := standin.StartEndpoint(ctx, cfg)
	if err != nil {
		return err
	}
	printLines(s.out, "endpoint "+cfg.ID+" listens on "+e.Address())
	<-ctx.Done()
	leaveCtx, cancel := context.WithTimeout(context.Background(), endpointLeaveTimeout)
	defer cancel()
	err = e.Leave(leaveCtx)
	for e.Running() > 0 && leaveCtx.Err() == nil {
		time.Sleep(endpointPollInterval)
	}
	e.Close()
	return errors.Wrap(err, "leave")
}

const (
	// endpointLeaveTimeout bounds how long a leaving stand-in waits for its running work.
	endpointLeaveTimeout = 30 * time.Second
	endpointPollInterval = 20 * time.Millisecond
)

// loadReport is the JSON form of a load run.
type loadReport struct {
	standin.Summary
	Skipped    int     `json:"skipped"`
	Seconds    float64 `json:"seconds"`
	Goodput    float64 `json:"goodput_per_second"`
	P50        int64   `json:"p50_us"`
	P99        int64   `json:"p99_us"`
	P999       int64   `json:"p999_us"`
	Violations int     `json:"violations"`
}

func loadCommand(s streams) *ffcli.Command {
	fs := newFlags("load", s)
	var cfg standin.CallerConfig
	var stream standin.Stream
	fs.StringVar(&stream.Queue, "queue", "quote", "queue")
	fs.StringVar(&stream.Key, "key", "", "team key")
	fs.BoolVar(&stream.Idempotent, "idempotent", false, "the queue is idempotent")
	fs.IntVar(&stream.BodyBytes, "body-bytes", 256, "size of the request bodies")
	fs.Float64Var(&cfg.Rate, "rate", 100, "mean arrivals a second")
	fs.DurationVar(&cfg.Duration, "duration", 10*time.Second, "length of the run")
	fs.DurationVar(&cfg.Timeout, "timeout", 0, "deadline sent with each request")
	fs.Uint64Var(&cfg.Seed, "seed", 1, "seed of arrivals and bodies")
	daemons := fs.String("daemons", devCallers, "caller addresses of daemons, by commas")
	endpoints := fs.String("endpoints", "", "addresses of the stand-in endpoints, by commas, to check what they ran")
	ids := fs.String("ids", string(standin.IDNone), "none, home or own")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "magnoliastand load [--rate N] [--duration D] [--queue Q] [--daemons ADDR,ADDR]",
		ShortHelp:  "Generates load and reports latencies; with --endpoints it checks that nothing was lost, doubled or cut.",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, _ []string) error {
			cfg.Daemons = strings.Split(*daemons, ",")
			cfg.IDs = standin.IDMode(*ids)
			stream.Weight = 1
			cfg.Streams = []standin.Stream{stream}
			return runLoad(ctx, s, cfg, *endpoints)
		},
	}
}

func runLoad(ctx context.Context, s streams, cfg standin.CallerConfig, endpoints string) error {
	caller, err := standin.NewCaller(cfg)
	if err != nil {
		return usageError("%v", err)
	}
	report := caller.Run(ctx)
	out := loadReport{
		Summary: standin.Summarize(report.Outcomes),
		Skipped: report.Skipped,
		Seconds: report.Elapsed.Seconds(),
		P50:     report.Latency.ValueAtQuantile(50),
		P99:     report.Latency.ValueAtQuantile(99),
		P999:    report.Latency.ValueAtQuantile(99.9),
	}
	out.Goodput = float64(out.Answered) / out.Seconds
	violations, err := checkRuns(ctx, report, endpoints)
	if err != nil {
		return err
	}
	out.Violations = len(violations)
	for _, v := range violations {
		printLines(s.err, v.String())
	}
	if err := json.NewEncoder(s.out).Encode(out); err != nil {
		return errors.Wrap(err, "write")
	}
	if len(violations) > 0 {
		return errors.Errorf("%d violations", len(violations))
	}
	return nil
}

// checkRuns compares what callers were told with what the endpoints ran.
func checkRuns(ctx context.Context, report *standin.Report, endpoints string) ([]standin.Violation, error) {
	if endpoints == "" {
		return nil, nil
	}
	ledger := standin.NewLedger()
	ledger.AddOutcomes(report.Outcomes)
	for _, addr := range strings.Split(endpoints, ",") {
		if err := ledger.Fetch(ctx, addr); err != nil {
			return nil, errors.Wrap(err, fmt.Sprintf("endpoint %s: %s", addr, http.StatusText(http.StatusServiceUnavailable)))
		}
	}
	return ledger.Check(), nil
}
