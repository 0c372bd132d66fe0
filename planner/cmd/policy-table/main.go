// Command policy-table replays the planner and the baseline policies on both
// deployments over many seeds and prints one table of measures per deployment.
package main

import (
	"flag"
	"fmt"
	"os"

	"magnoliastand.example/placement"
	"magnoliastand.example/planner/replay"
)

func main() {
	seeds := flag.Int("seeds", 20, "number of seeds, from 1")
	hours := flag.Float64("hours", 3.5, "length of a replay in hours")
	policy := flag.String("policy", "", "measure only this policy")
	only := flag.String("deployment", "", "measure only this deployment")
	workers := flag.Int("workers", 3, "replays run at once")
	flag.Parse()
	length := placement.Millis(*hours * 3_600_000)
	for _, d := range []replay.Deployment{replay.Kyushu(), replay.Swanbourne()} {
		if *only != "" && *only != d.Name {
			continue
		}
		if err := replay.WriteTable(os.Stdout, d, replay.Select(*policy), *seeds, length, *workers); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
