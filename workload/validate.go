package workload

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// Limits on job specifications.
const (
	// MaxPayload is the maximum payload size of a job, in bytes.
	MaxPayload = 4000
	// MaxTasks is the maximum number of tasks over all occurrences of a job.
	MaxTasks = 20_000
	// MaxSteps is the maximum number of steps of a job.
	MaxSteps = 256
	// MaxAmount is the maximum of each resource of a size, so that sums over tasks
	// and workers stay in range.
	MaxAmount = 1 << 30
	// MaxDuration is the maximum of a duration, in milliseconds: 34 years.
	MaxDuration = 1 << 40
	// MaxTime is the maximum of a time or counter that comes as a JSON number:
	// larger ones are not exact in every implementation (RFC 8259, section 6).
	MaxTime = 1<<53 - 1
	// MaxName is the maximum size of the name or address of a worker, an instance or
	// a pool, in bytes.
	MaxName = 256
	// MaxWaveInstances is the maximum number of instances of a wave.
	MaxWaveInstances = 1 << 16
	// MaxLabels is the maximum number of labels of a worker.
	MaxLabels = 64
)

// Faults lists the validation errors of an input, each prefixed with the path of
// the field.
type Faults []string

// Add appends a validation error for the field at path.
func (f *Faults) Add(path, format string, args ...any) {
	*f = append(*f, path+": "+fmt.Sprintf(format, args...))
}

// Err joins the validation errors into one error; it returns nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return errors.New(strings.Join(f, "; "))
}

// ValidateDocument returns all validation errors of a document.
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
	names, hostPrefixes := map[string]bool{}, map[string]bool{}
	for i := range d.Queues {
		q := &d.Queues[i]
		path := fmt.Sprintf("queues[%d]", i)
		if q.Name == "" || names[q.Name] {
			f.Add(path+".name", "is empty or used twice")
		}
		names[q.Name] = true
		if q.Host == "" || !strings.HasPrefix(q.Prefix, "/") {
			f.Add(path, "needs a host and a prefix that begins with /")
		}
		if !pools[q.Pool] {
			f.Add(path+".pool", "%q is not a pool of the document", q.Pool)
		}
		hostPrefix := q.Host + " " + q.Prefix
		if hostPrefixes[hostPrefix] {
			f.Add(path, "another queue has the same host and prefix")
		}
		hostPrefixes[hostPrefix] = true
	}
}

func validateTeams(f *Faults, d *Document) {
	owners := map[string]int{}
	for i := range d.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		if d.Teams[i].Name == "" {
			f.Add(path+".name", "is empty")
		}
		for n, k := range d.Teams[i].Keys {
			if owner, used := owners[k]; used && owner != i {
				f.Add(fmt.Sprintf("%s.keys[%d]", path, n), "belongs to teams[%d], too", owner)
			}
			owners[k] = i
		}
	}
}

// ValidateSpec returns all validation errors of a job specification.
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
		tasks += min(max(s.Steps[i].Count, 0), MaxTasks+1) // the sum can't overflow
	}
	if s.Repeat < 1 || s.Interval < 0 || s.StartAt < 0 {
		f.Add("repeat", "needs at least 1 occurrence and no negative times")
	}
	f.CheckRange("start_at", s.StartAt, MaxTime)
	f.CheckRange("interval", s.Interval, MaxDuration)
	if s.Repeat > MaxTasks {
		f.Add("repeat", "at most %d occurrences are allowed", MaxTasks)
	} else if tasks*max(s.Repeat, 1) > MaxTasks {
		f.Add("steps", "make more than %d tasks", MaxTasks)
	}
	return f
}

// CheckRange adds a fault unless n is from 0 to limit.
func (f *Faults) CheckRange(path string, n, limit int64) {
	if n < 0 || n > limit {
		f.Add(path, "%d is not from 0 to %d", n, limit)
	}
}

// CheckName adds a fault unless s has 1 to MaxName bytes of printable text that is
// not all white space.
func (f *Faults) CheckName(path, s string) {
	if strings.TrimSpace(s) == "" {
		f.Add(path, "is empty")
	}
	f.checkText(path, s)
}

// CheckLabels adds a fault for too many labels, or for one that isn't short
// printable text.
func (f *Faults) CheckLabels(path string, labels []string) {
	if len(labels) > MaxLabels {
		f.Add(path, "has %d entries, at most %d are allowed", len(labels), MaxLabels)
		return
	}
	for i, l := range labels {
		f.checkText(fmt.Sprintf("%s[%d]", path, i), l)
	}
}

// checkText refuses text that is long or not printable. Invalid UTF-8 can't be
// decoded from the log.
func (f *Faults) checkText(path, s string) {
	if len(s) > MaxName {
		f.Add(path, "has %d bytes, at most %d are allowed", len(s), MaxName)
		return
	}
	if !utf8.ValidString(s) || strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) {
		f.Add(path, "%q is not printable text", s)
	}
}

// CheckSize adds a fault for each amount that is negative or above MaxAmount.
func (f *Faults) CheckSize(path string, s Size) {
	f.CheckRange(path+".processors", s.Processors, MaxAmount)
	f.CheckRange(path+".memory_mb", s.MemoryMB, MaxAmount)
	f.CheckRange(path+".accelerators", s.Accelerators, MaxAmount)
}

// ValidateWorker returns all validation errors of a worker as it announces itself.
func ValidateWorker(w *Worker) Faults {
	var f Faults
	f.CheckName("id", w.ID)
	f.CheckName("pool", w.Pool)
	f.checkText("zone", w.Zone)
	f.checkAddress("address", w.Address)
	f.CheckLabels("labels", w.Labels)
	f.CheckSize("capacity", w.Capacity)
	f.CheckRange("incarnation", w.Incarnation, MaxTime)
	return f
}

// ValidateWaveInstances returns the first validation error of the instances of a
// wave.
func ValidateWaveInstances(names []string) Faults {
	var f Faults
	if len(names) > MaxWaveInstances {
		f.Add("instances", "has %d entries, at most %d are allowed", len(names), MaxWaveInstances)
		return f
	}
	for i, name := range names {
		if f.CheckName(fmt.Sprintf("instances[%d]", i), name); len(f) > 0 {
			break
		}
	}
	return f
}

// checkAddress adds a fault unless s is a host and a port as they stand in a URL.
func (f *Faults) checkAddress(path, s string) {
	if f.checkText(path, s); len(s) > MaxName {
		return
	}
	u, err := url.Parse("http://" + s)
	if err != nil || u.Host != s || u.Hostname() == "" {
		f.Add(path, "%q is no host and port", s)
		return
	}
	if port, err := strconv.ParseUint(u.Port(), 10, 16); err != nil || port == 0 {
		f.Add(path, "the port of %q is not from 1 to 65535", s)
	}
}

func validateStep(f *Faults, path string, s *Step, index int) {
	if s.Count < 1 || s.Count > MaxTasks {
		f.Add(path+".count", "%d is not from 1 to %d; a job has at most as many tasks", s.Count, MaxTasks)
	}
	f.CheckSize(path, s.Need)
	f.CheckRange(path+".estimate", s.Estimate, MaxDuration)
	f.CheckRange(path+".tail_target", s.TailTarget, MaxDuration)
	f.CheckRange(path+".anti-affinity", int64(s.AntiAffinity), MaxAmount)
	f.CheckRange(path+".max_unavailable", int64(s.MaxUnavailable), MaxAmount)
	for _, a := range s.After {
		if a < 0 || a >= index {
			f.Add(path+".after", "%d is not an earlier step", a)
		}
	}
}
