package api

// Validate returns every fault of the document, in the order of its fields.
// It returns nil for a valid document. Lists over their bound are reported
// once and their items are not checked.
func (d *Document) Validate() []Fault {
	v := &validator{doc: d}
	v.name("name", d.Name)
	v.zones()
	v.pools()
	v.services()
	v.teams()
	v.budgets()
	v.waves()
	v.objective()
	return v.faults
}

// validator holds the names that later parts of the document refer to.
type validator struct {
	faultList
	doc       *Document
	zoneNames map[string]string
	poolNames map[string]string
}

func (v *validator) zones() {
	v.zoneNames = make(map[string]string)
	if len(v.doc.AvailabilityZones) == 0 {
		v.addf("availability_zones", "at least one availability zone is required")
	}
	if !v.count("availability_zones", len(v.doc.AvailabilityZones), MaxAvailabilityZones) {
		return
	}
	for i := range v.doc.AvailabilityZones {
		z := &v.doc.AvailabilityZones[i]
		path := itemPath("availability_zones", i)
		v.name(path+".name", z.Name)
		v.unique(v.zoneNames, path+".name", z.Name)
		if z.Region != "" {
			v.name(path+".region", z.Region)
		}
	}
}

func (v *validator) pools() {
	v.poolNames = make(map[string]string)
	if !v.count("pools", len(v.doc.Pools), MaxPools) {
		return
	}
	spare := ""
	sum := 0
	for i := range v.doc.Pools {
		p := &v.doc.Pools[i]
		path := itemPath("pools", i)
		v.pool(path, p)
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

func (v *validator) pool(path string, p *Pool) {
	v.name(path+".name", p.Name)
	v.unique(v.poolNames, path+".name", p.Name)
	v.intRange(path+".min_instances", int64(p.MinInstances), 0, MaxInstances)
	v.intRange(path+".max_instances", int64(p.MaxInstances), 0, MaxInstances)
	if p.MaxInstances > 0 && p.MinInstances > p.MaxInstances {
		v.addf(path+".min_instances", "%d is above max_instances %d", p.MinInstances, p.MaxInstances)
	}
}

func (v *validator) services() {
	if !v.count("services", len(v.doc.Services), MaxServices) {
		return
	}
	names := make(map[string]string)
	queues := make(map[string]string)
	total := 0
	for i := range v.doc.Services {
		total += len(v.doc.Services[i].Queues)
	}
	checkQueues := v.count("services", total, MaxQueues)
	for i := range v.doc.Services {
		s := &v.doc.Services[i]
		path := itemPath("services", i)
		v.service(path, s, names)
		for j := range s.Queues {
			if checkQueues {
				v.queue(itemPath(path+".queues", j), &s.Queues[j], queues)
			}
		}
	}
}

func (v *validator) service(path string, s *Service, names map[string]string) {
	v.name(path+".name", s.Name)
	v.unique(names, path+".name", s.Name)
	v.poolRef(path+".pool", s.Pool)
	v.intRange(path+".slots_per_endpoint", int64(s.SlotsPerEndpoint), 1, MaxSlotsPerEndpoint)
	v.intRange(path+".connections_per_endpoint", int64(s.ConnectionsPerEndpoint), 1, MaxSlotsPerEndpoint)
	if s.ConnectionsPerEndpoint > 0 && s.ConnectionsPerEndpoint < s.SlotsPerEndpoint {
		v.addf(path+".connections_per_endpoint", "%d is below slots_per_endpoint %d", s.ConnectionsPerEndpoint, s.SlotsPerEndpoint)
	}
	v.duration(path+".longest_run", s.LongestRun, MinLongestRun, MaxLongestRun)
	if len(s.Queues) == 0 {
		v.addf(path+".queues", "at least one queue is required")
	}
}

func (v *validator) queue(path string, q *Queue, names map[string]string) {
	v.name(path+".name", q.Name)
	v.unique(names, path+".name", q.Name)
	switch q.Class {
	case "", ClassQuick, ClassLong:
	default:
		v.addf(path+".class", "%s is not a class: use %q or %q", quote(string(q.Class)), ClassQuick, ClassLong)
	}
	v.intRange(path+".max_body_bytes", q.MaxBodyBytes, 0, MaxRequestBodyBytes)
	v.duration(path+".max_wait", q.MaxWait, 0, MaxQueueWait)
	v.intRange(path+".max_queued", int64(q.MaxQueued), 0, MaxQueuedPerZone)
	if q.Objective == nil {
		return
	}
	v.duration(path+".objective.latency", q.Objective.Latency, MinLongestRun, MaxObjectiveLatency)
	// The negated form also refuses a value that is not a number.
	if !(q.Objective.Ratio > 0 && q.Objective.Ratio < 1) {
		v.addf(path+".objective.ratio", "%g is not between 0 and 1, both excluded", q.Objective.Ratio)
	}
}

func (v *validator) teams() {
	if !v.count("teams", len(v.doc.Teams), MaxTeams) {
		return
	}
	names := make(map[string]string)
	for i := range v.doc.Teams {
		t := &v.doc.Teams[i]
		path := itemPath("teams", i)
		v.name(path+".name", t.Name)
		v.unique(names, path+".name", t.Name)
		v.intRange(path+".share", int64(t.Share), 1, MaxTeamShare)
		v.intRange(path+".limit", int64(t.Limit), 0, MaxTeamLimit)
		v.intRange(path+".job_limit", int64(t.JobLimit), 0, max(int64(t.Limit), 0))
	}
}

func (v *validator) poolRef(path, name string) {
	if name == "" {
		v.addf(path, "is required")
		return
	}
	if _, ok := v.poolNames[name]; !ok {
		v.addf(path, "there is no pool %s", quote(name))
	}
}
