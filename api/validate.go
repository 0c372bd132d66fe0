package api

// Validate returns all faults of the document in the order of its fields, or nil
// if the document is valid. A list above its size limit is reported once and its
// items are not checked.
func (d *Document) Validate() []Fault {
	v := &validator{doc: d}
	v.checkName("name", d.Name)
	v.checkAvailabilityZones()
	v.checkPools()
	v.checkServices()
	v.checkTeams()
	v.checkBudgets()
	v.checkWaves()
	v.checkObjective()
	return v.faults
}

// validator collects the faults of doc. It records the names of availability
// zones and pools, which later parts of the document refer to.
type validator struct {
	faultList
	doc *Document
	// zoneNames and poolNames map each name to the path that defines it.
	zoneNames map[string]string
	poolNames map[string]string
}

func (v *validator) checkAvailabilityZones() {
	v.zoneNames = make(map[string]string)
	if len(v.doc.AvailabilityZones) == 0 {
		v.addf("availability_zones", "at least one availability zone is required")
	}
	if !v.checkCount("availability_zones", len(v.doc.AvailabilityZones), MaxAvailabilityZones) {
		return
	}
	for i := range v.doc.AvailabilityZones {
		z := &v.doc.AvailabilityZones[i]
		path := itemPath("availability_zones", i)
		v.checkName(path+".name", z.Name)
		v.checkUnique(v.zoneNames, path+".name", z.Name)
		if z.Region != "" {
			v.checkName(path+".region", z.Region)
		}
	}
}

func (v *validator) checkPools() {
	v.poolNames = make(map[string]string)
	if !v.checkCount("pools", len(v.doc.Pools), MaxPools) {
		return
	}
	spare := ""
	sum := 0
	for i := range v.doc.Pools {
		p := &v.doc.Pools[i]
		path := itemPath("pools", i)
		v.checkPool(path, p)
		if p.Spare && spare != "" {
			v.addf(path+".spare", "%s is already the spare pool", spare)
		}
		if p.Spare && spare == "" {
			spare = path
		}
		sum += min(max(p.MinInstances, 0), MaxInstances)
	}
	if sum > MaxInstances {
		v.addf("pools", "the sum of min_instances is %d; at most %d is allowed", sum, MaxInstances)
	}
}

func (v *validator) checkPool(path string, p *Pool) {
	v.checkName(path+".name", p.Name)
	v.checkUnique(v.poolNames, path+".name", p.Name)
	v.checkIntRange(path+".min_instances", int64(p.MinInstances), 0, MaxInstances)
	v.checkIntRange(path+".max_instances", int64(p.MaxInstances), 0, MaxInstances)
	if p.MaxInstances > 0 && p.MinInstances > p.MaxInstances {
		v.addf(path+".min_instances", "%d is above max_instances %d", p.MinInstances, p.MaxInstances)
	}
}

func (v *validator) checkServices() {
	if !v.checkCount("services", len(v.doc.Services), MaxServices) {
		return
	}
	names := make(map[string]string)
	queues := make(map[string]string)
	total := 0
	for i := range v.doc.Services {
		total += len(v.doc.Services[i].Queues)
	}
	checkQueues := v.checkCount("services", total, MaxQueues)
	for i := range v.doc.Services {
		s := &v.doc.Services[i]
		path := itemPath("services", i)
		v.checkService(path, s, names)
		for j := range s.Queues {
			if checkQueues {
				v.checkQueue(itemPath(path+".queues", j), &s.Queues[j], queues)
			}
		}
	}
}

func (v *validator) checkService(path string, s *Service, names map[string]string) {
	v.checkName(path+".name", s.Name)
	v.checkUnique(names, path+".name", s.Name)
	v.checkPoolRef(path+".pool", s.Pool)
	v.checkIntRange(path+".slots_per_endpoint", int64(s.SlotsPerEndpoint), 1, MaxSlotsPerEndpoint)
	v.checkIntRange(path+".connections_per_endpoint", int64(s.ConnectionsPerEndpoint), 1, MaxSlotsPerEndpoint)
	if s.ConnectionsPerEndpoint > 0 && s.ConnectionsPerEndpoint < s.SlotsPerEndpoint {
		v.addf(path+".connections_per_endpoint", "%d is below slots_per_endpoint %d", s.ConnectionsPerEndpoint, s.SlotsPerEndpoint)
	}
	v.checkDuration(path+".longest_run", s.LongestRun, MinLongestRun, MaxLongestRun)
	if len(s.Queues) == 0 {
		v.addf(path+".queues", "at least one queue is required")
	}
}

func (v *validator) checkQueue(path string, q *Queue, names map[string]string) {
	v.checkName(path+".name", q.Name)
	v.checkUnique(names, path+".name", q.Name)
	switch q.Class {
	case "", ClassQuick, ClassLong:
	default:
		v.addf(path+".class", "%s is not a class: use %q or %q", quote(string(q.Class)), ClassQuick, ClassLong)
	}
	v.checkIntRange(path+".max_body_bytes", q.MaxBodyBytes, 0, MaxRequestBodyBytes)
	v.checkDuration(path+".max_wait", q.MaxWait, 0, MaxQueueWait)
	v.checkIntRange(path+".max_queued", int64(q.MaxQueued), 0, MaxQueuedPerZone)
	if q.Objective == nil {
		return
	}
	v.checkDuration(path+".objective.latency", q.Objective.Latency, MinLongestRun, MaxObjectiveLatency)
	// The negated condition also rejects NaN.
	if !(q.Objective.Ratio > 0 && q.Objective.Ratio < 1) {
		v.addf(path+".objective.ratio", "%g is not between 0 and 1, both excluded", q.Objective.Ratio)
	}
}

func (v *validator) checkTeams() {
	if !v.checkCount("teams", len(v.doc.Teams), MaxTeams) {
		return
	}
	names := make(map[string]string)
	for i := range v.doc.Teams {
		t := &v.doc.Teams[i]
		path := itemPath("teams", i)
		v.checkName(path+".name", t.Name)
		v.checkUnique(names, path+".name", t.Name)
		v.checkIntRange(path+".share", int64(t.Share), 1, MaxTeamShare)
		v.checkIntRange(path+".limit", int64(t.Limit), 0, MaxTeamLimit)
		v.checkIntRange(path+".job_limit", int64(t.JobLimit), 0, max(int64(t.Limit), 0))
	}
}

func (v *validator) checkPoolRef(path, name string) {
	if name == "" {
		v.addf(path, "is required")
		return
	}
	if _, ok := v.poolNames[name]; !ok {
		v.addf(path, "there is no pool %s", quote(name))
	}
}
