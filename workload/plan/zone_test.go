package plan_test

import (
	"fmt"
	"testing"

	"magnoliastand.example/workload/plan"
)

// evacuated marks instances as those of an evacuated zone.
func evacuated(instances []plan.PoolInstance) []plan.PoolInstance {
	for i := range instances {
		instances[i].Name += "-evacuated"
		instances[i].Evacuated, instances[i].Ready = true, false
	}
	return instances
}

// Guards against a pool whose instances in an evacuated zone count as capacity, against such
// instances that another pool takes, and against ones that are returned before they are replaced.
func TestMovesReplaceEvacuatedInstances(t *testing.T) {
	const settle = 1000
	standby := plan.PoolDemand{Standby: true}
	cases := map[string]struct {
		pools     map[string]plan.PoolDemand
		instances []plan.PoolInstance
		want      map[string]int // moves by "from>to"
	}{
		"lost capacity is replaced at once": {
			map[string]plan.PoolDemand{"p": demand(150, 0), "s": standby},
			append(append(makeInstances("p", 1, 0, false), evacuated(makeInstances("p", 2, 0, false))...), makeInstances("s", 5, 0, true)...),
			map[string]int{"s>p": 2}},
		"no evacuated donor": {
			map[string]plan.PoolDemand{"p": demand(90, 135), "q": demand(0, 0), "s": standby},
			append(append(makeInstances("p", 1, 0, false), evacuated(makeInstances("q", 3, settle, true))...), evacuated(makeInstances("s", 2, 0, true))...),
			map[string]int{}},
		"idle evacuated instances return once they are replaced": {
			map[string]plan.PoolDemand{"p": demand(50, 0), "s": standby},
			append(makeInstances("p", 2, 0, false), evacuated(makeInstances("p", 2, settle, true))...), map[string]int{"p>s": 2}},
		"idle evacuated instances stay while none replaces them": {
			map[string]plan.PoolDemand{"p": demand(50, 0), "s": standby},
			append(makeInstances("p", 1, 0, false), evacuated(makeInstances("p", 2, settle, true))...), map[string]int{}},
		"busy evacuated instances stay": {
			map[string]plan.PoolDemand{"p": demand(50, 0), "s": standby},
			append(makeInstances("p", 2, 0, false), evacuated(makeInstances("p", 2, settle, false))...), map[string]int{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := map[string]int{}
			for _, m := range plan.Moves(&plan.PoolInput{Pools: tc.pools, Instances: tc.instances, Settle: settle}) {
				got[m.From+">"+m.To]++
			}
			if fmt.Sprint(got) != fmt.Sprint(tc.want) {
				t.Errorf("moves %v, want %v", got, tc.want)
			}
		})
	}
}
