package workload

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Limits of a specification.
const (
	// MaxPayload bounds the payload of a job, in bytes.
	MaxPayload = 4000
	// MaxTasks bounds the tasks of all occurrences of a job.
	MaxTasks = 20_000
	// MaxSteps bounds the steps of a job.
	MaxSteps = 256
)

// Faults are all faults found in one input, each with the path of its field.
type Faults []string

// Add appends a fault of a field.
func (f *Faults) Add(path, format string, args ...any) {
	*f = append(*f, path+": "+fmt.Sprintf(format, args...))
}

// Err returns the faults as one error, or nil without faults.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return errors.New(strings.Join(f, "; "))
}

// ValidateDocument returns every fault of a document.
func ValidateDocument(d *Document) Faults {
	var f Faults
	if d.Version < 1 {
		f.Add("version", "must be at least 1")
	}
	pools := map[string]bool{}
	for i := range d.Pools {
		if d.Pools[i].Name == "" || pools[d.Pools[i].Name] {
			f.Add(fmt.Sprintf("pools[%d].name", i), "is empty or used twice")
		}
		pools[d.Pools[i].Name] = true
	}
	validateQueues(&f, d, pools)
	validateTeams(&f, d)
	return f
}

func validateQueues(f *Faults, d *Document, pools map[string]bool) {
	names, places := map[string]bool{}, map[string]bool{}
	for i := range d.Queues {
		q := &d.Queues[i]
		at := fmt.Sprintf("queues[%d]", i)
		if q.Name == "" || names[q.Name] {
			f.Add(at+".name", "is empty or used twice")
		}
		names[q.Name] = true
		if q.Host == "" || !strings.HasPrefix(q.Prefix, "/") {
			f.Add(at, "needs a host and a prefix that begins with /")
		}
		if !pools[q.Pool] {
			f.Add(at+".pool", "%q is not a pool of the document", q.Pool)
		}
		place := q.Host + " " + q.Prefix
		if places[place] {
			f.Add(at, "another queue has the same host and prefix")
		}
		places[place] = true
	}
}

func validateTeams(f *Faults, d *Document) {
	owners := map[string]int{}
	for i := range d.Teams {
		at := fmt.Sprintf("teams[%d]", i)
		if d.Teams[i].Name == "" {
			f.Add(at+".name", "is empty")
		}
		for n, k := range d.Teams[i].Keys {
			if owner, used := owners[k]; used && owner != i {
				f.Add(fmt.Sprintf("%s.keys[%d]", at, n), "belongs to teams[%d], too", owner)
			}
			owners[k] = i
		}
	}
}

// ValidateSpec returns every fault of a specification.
func ValidateSpec(s *Spec) Faults {
	var f Faults
	if len(s.Payload) > MaxPayload {
		f.Add("payload", "has %d bytes, at most %d are allowed", len(s.Payload), MaxPayload)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		f.Add("steps", "has %d entries, 1 to %d are allowed", len(s.Steps), MaxSteps)
	}
	tasks := 0
	for i := range s.Steps {
		validateStep(&f, fmt.Sprintf("steps[%d]", i), &s.Steps[i], i)
		tasks += max(s.Steps[i].Count, 0)
	}
	if s.Repeat < 1 || s.Interval < 0 || s.StartAt < 0 {
		f.Add("repeat", "needs at least 1 occurrence and no negative times")
	}
	if tasks > MaxTasks || tasks*max(s.Repeat, 1) > MaxTasks {
		f.Add("steps", "make more than %d tasks", MaxTasks)
	}
	return f
}

func validateStep(f *Faults, at string, s *Step, index int) {
	if s.Count < 1 {
		f.Add(at+".count", "must be at least 1")
	}
	if s.Need.Processors < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 {
		f.Add(at, "needs a negative amount")
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			f.Add(at+".after", "%d is not an earlier step", a)
		}
	}
}
