package api

// QueueRef is a queue together with the service that runs it.
type QueueRef struct {
	Service *Service
	Queue   *Queue
}

// Index looks up the parts of one document by name. It is immutable and safe for
// concurrent use. It points into the document, which must not be modified.
type Index struct {
	queues   map[string]QueueRef
	services map[string]*Service
	teams    map[string]*Team
	pools    map[string]*Pool
	zones    map[string]*AvailabilityZone
}

// NewIndex returns the index of a valid document. If a name is duplicated, which
// validation rejects, lookups return the last entry.
func NewIndex(d *Document) *Index {
	ix := &Index{
		queues:   make(map[string]QueueRef),
		services: make(map[string]*Service, len(d.Services)),
		teams:    make(map[string]*Team, len(d.Teams)),
		pools:    make(map[string]*Pool, len(d.Pools)),
		zones:    make(map[string]*AvailabilityZone, len(d.AvailabilityZones)),
	}
	for i := range d.Services {
		ix.addService(&d.Services[i])
	}
	for i := range d.Teams {
		ix.teams[d.Teams[i].Name] = &d.Teams[i]
	}
	for i := range d.Pools {
		ix.pools[d.Pools[i].Name] = &d.Pools[i]
	}
	for i := range d.AvailabilityZones {
		ix.zones[d.AvailabilityZones[i].Name] = &d.AvailabilityZones[i]
	}
	return ix
}

func (ix *Index) addService(s *Service) {
	ix.services[s.Name] = s
	for i := range s.Queues {
		ix.queues[s.Queues[i].Name] = QueueRef{Service: s, Queue: &s.Queues[i]}
	}
}

// Queue returns the named queue and its service.
func (ix *Index) Queue(name string) (QueueRef, bool) {
	r, ok := ix.queues[name]
	return r, ok
}

// Service returns the named service.
func (ix *Index) Service(name string) (*Service, bool) {
	s, ok := ix.services[name]
	return s, ok
}

// Team returns the named team.
func (ix *Index) Team(name string) (*Team, bool) {
	t, ok := ix.teams[name]
	return t, ok
}

// Pool returns the named pool.
func (ix *Index) Pool(name string) (*Pool, bool) {
	p, ok := ix.pools[name]
	return p, ok
}

// Zone returns the named availability zone.
func (ix *Index) Zone(name string) (*AvailabilityZone, bool) {
	z, ok := ix.zones[name]
	return z, ok
}
