package replay

import (
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"magnoliastand.example/placement"
)

// replayIndex identifies one replay by the indexes of its policy and seed.
type replayIndex struct{ policy, seed int }

// Measure replays every policy with the seeds from 1 to seeds, using the given
// number of concurrent workers. The result is indexed by policy and seed.
func Measure(d Deployment, policies []Policy, seeds int, length placement.Millis, workers int) ([][]Measures, error) {
	out := make([][]Measures, len(policies))
	for n := range out {
		out[n] = make([]Measures, seeds)
	}
	indexes := make(chan replayIndex)
	errs := make([]error, max(workers, 1))
	var wg sync.WaitGroup
	for n := range errs {
		wg.Go(func() {
			for c := range indexes {
				m, err := Run(d, policies[c.policy], uint64(c.seed+1), length)
				if err != nil {
					errs[n] = err
				}
				out[c.policy][c.seed] = m
			}
		})
	}
	for p := range policies {
		for s := range seeds {
			indexes <- replayIndex{p, s}
		}
	}
	close(indexes)
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, errors.Wrap(err, "replay")
		}
	}
	return out, nil
}

// WriteTable measures the policies on a deployment and writes a Markdown table.
// Values are means over seeds, except for breaches, which are sums. The largest
// shortfall and wait of any seed are given in parentheses.
func WriteTable(w io.Writer, d Deployment, policies []Policy, seeds int, length placement.Millis, workers int) error {
	all, err := Measure(d, policies, seeds, length, workers)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "\n### %s: %d seeds of %.1f hours\n\n%s\n%s\n", d.Name, seeds,
		float64(length)/3_600_000,
		"| policy | buffer (instances) | roll-out (min) | moves | largest shortfall | mean shortfall | quick p99 wait (ms) "+
			"| waiting | full | breaches | done | fits nowhere | parked | failed | unknown | cancelled | preempted | quarantined |",
		"| --- "+"| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	if err != nil {
		return err
	}
	for n, p := range policies {
		if _, err := fmt.Fprintln(w, row(p.Name, all[n])); err != nil {
			return err
		}
	}
	return nil
}

func row(name string, all []Measures) string {
	mean := func(f func(Measures) float64) float64 {
		sum := 0.0
		for _, m := range all {
			sum += f(m)
		}
		return sum / float64(len(all))
	}
	largest := func(f func(Measures) float64) float64 {
		values := make([]float64, 0, len(all))
		for _, m := range all {
			values = append(values, f(m))
		}
		return slices.Max(values)
	}
	count := func(f func(Measures) int) float64 { return mean(func(m Measures) float64 { return float64(f(m)) }) }
	total := func(f func(Measures) int) int { return int(count(f)*float64(len(all)) + 0.5) }
	rollOut := fmt.Sprintf("%.1f", mean(func(m Measures) float64 { return m.RollOut }))
	if unfinished := total(func(m Measures) int { return m.Unfinished }); unfinished > 0 {
		rollOut = fmt.Sprintf("> %s (%d unfinished)", rollOut, unfinished)
	}
	shortfall := func(m Measures) float64 { return 100 * m.LargestShortfall }
	wait := func(m Measures) float64 { return m.QuickWaitP99 }
	return fmt.Sprintf("| %s | %.1f | %s | %.1f | %.1f%% (%.1f%%) | %.1f%% | %.0f (%.0f) | %.1f | %.1f%% | %d "+
		"| %.0f | %.0f | %.1f | %.1f | %.1f | %.0f | %.1f | %.1f |",
		name, mean(func(m Measures) float64 { return m.Buffer }), rollOut,
		count(func(m Measures) int { return m.Moves }),
		mean(shortfall), largest(shortfall), 100*mean(func(m Measures) float64 { return m.MeanShortfall }),
		mean(wait), largest(wait), mean(func(m Measures) float64 { return m.MeanWaiting }),
		100*mean(func(m Measures) float64 { return m.FullFraction }), total(func(m Measures) int { return m.Breaches }),
		count(func(m Measures) int { return m.Done }), count(func(m Measures) int { return m.FitsNowhere }),
		count(func(m Measures) int { return m.Parked }), count(func(m Measures) int { return m.Failed }),
		count(func(m Measures) int { return m.Unknown }), count(func(m Measures) int { return m.Cancelled }),
		count(func(m Measures) int { return m.Preempted }), count(func(m Measures) int { return m.Quarantined }))
}
