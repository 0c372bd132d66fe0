package api

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/pkg/errors"
)

// TestDocumentFaults loads the documents of the data-driven tests and compares
// the reported faults.
func TestDocumentFaults(t *testing.T) {
	datadriven.Walk(t, "testdata/document", func(t *testing.T, path string) {
		base := ""
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "base":
				base = d.Input
				return faultText([]byte(base))
			case "replace": // replaces the first line of the input by the lines that follow it
				// datadriven trims the indentation of the first input line only.
				old, repl, _ := strings.Cut(d.Input, "\n")
				repl = strings.TrimLeft(repl, " ")
				if !strings.Contains(base, old) {
					d.Fatalf(t, "base document does not contain %q", old)
				}
				return faultText([]byte(strings.Replace(base, old, repl, 1)))
			case "check":
				return faultText([]byte(d.Input))
			}
			d.Fatalf(t, "unknown command %s", d.Cmd)
			return ""
		})
	})
}

// faultText loads a document and returns its faults, one per line, or "valid".
func faultText(text []byte) string {
	_, err := LoadDocument(text)
	if err == nil {
		return "valid\n"
	}
	var derr *DocumentError
	if !errors.As(err, &derr) {
		return "not a *DocumentError: " + err.Error()
	}
	out := ""
	for _, f := range derr.Faults {
		out += f.String() + "\n"
	}
	return out
}

// TestValidateSkipsItemsOfOversizedLists checks that a list above its limit gives
// one fault and that its items are not validated.
func TestValidateSkipsItemsOfOversizedLists(t *testing.T) {
	doc := Document{
		Name:              "d",
		AvailabilityZones: make([]AvailabilityZone, MaxAvailabilityZones+1),
		Pools:             make([]Pool, MaxPools+1),
		Services:          []Service{{Queues: make([]Queue, MaxQueues+1)}},
		Teams:             make([]Team, MaxTeams+1),
		Budgets:           make([]Budget, MaxBudgets+1),
		Waves:             make([]Wave, MaxWaves+1),
	}
	faults := doc.Validate()
	if len(faults) > 12 {
		t.Fatalf("validation reported %d faults; want at most 12, items of oversized lists must be skipped", len(faults))
	}
	oversized := 0
	for _, f := range faults {
		if strings.Contains(f.Message, "at most") {
			oversized++
		}
	}
	if oversized != 6 {
		t.Fatalf("%d of 6 oversized lists were reported: %v", oversized, faults)
	}
}

// TestParseDocumentRejectsHostileText checks that texts made to exhaust memory or
// time in the parser are rejected, as are unsupported YAML syntax and texts that
// do not hold exactly one document.
func TestParseDocumentRejectsHostileText(t *testing.T) {
	for name, text := range map[string]string{
		"flow depth":  strings.Repeat("[", 1<<19),
		"map depth":   strings.Repeat("{a: ", 1<<17),
		"block depth": strings.Repeat("- ", 1<<19),
		"key depth":   strings.Repeat("? ", 1<<19),
		"fields":      strings.Repeat("a: b\n", 1<<16),
		"flow fields": "{" + strings.Repeat("a,", 1<<19),
		"items":       strings.Repeat("-\n", 1<<19),
		"flow items":  "[" + strings.Repeat("[],", 1<<18),
		"too large":   strings.Repeat("#", MaxDocumentBytes+1),
		"alias":       "pools: &p [{name: a}]\nwaves: *p\n",
		"tag":         "name: !!str a\n",
		"two":         "name: a\n---\nname: b\n",
		"empty":       "",
	} {
		if _, err := ParseDocument([]byte(text)); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
}

func TestDefaults(t *testing.T) {
	var q Queue
	if q.BodyLimit() != DefaultMaxBodyBytes || q.Patience() != DefaultMaxWait || q.QueueLimit() != DefaultMaxQueued || q.WorkClass() != ClassQuick {
		t.Fatal("defaults are not applied to a queue without settings")
	}
	q = Queue{MaxBodyBytes: 5, MaxWait: 6, MaxQueued: 7, Class: ClassLong}
	if q.BodyLimit() != 5 || q.Patience() != 6 || q.QueueLimit() != 7 || q.WorkClass() != ClassLong {
		t.Fatal("explicit queue settings are not returned")
	}
}

func TestIndexFindsByName(t *testing.T) {
	doc := Document{
		AvailabilityZones: []AvailabilityZone{{Name: "z"}},
		Pools:             []Pool{{Name: "p"}},
		Services:          []Service{{Name: "s", Queues: []Queue{{Name: "q"}}}, {Name: "t", Queues: []Queue{{Name: "r"}}}},
		Teams:             []Team{{Name: "x", Limit: 3}},
	}
	ix := NewIndex(&doc)
	if r, ok := ix.Queue("r"); !ok || r.Service.Name != "t" || r.Queue.Name != "r" {
		t.Fatalf("lookup of queue r returned %v, %v", r, ok)
	}
	if team, ok := ix.Team("x"); !ok || team.Limit != 3 {
		t.Fatal("team x not found or has the wrong limit")
	}
	_, okS := ix.Service("s")
	_, okP := ix.Pool("p")
	_, okZ := ix.Zone("z")
	_, okNone := ix.Queue("none")
	if !okS || !okP || !okZ || okNone {
		t.Fatal("lookup by name failed, or found a queue that does not exist")
	}
}

func TestAnnouncementFaults(t *testing.T) {
	valid := Announcement{Service: "s", Instance: "i", Incarnation: "1", Address: "10.0.0.1:80", State: EndpointReady, Slots: 8}
	if f := valid.Validate(); f != nil {
		t.Fatalf("faults in a valid announcement: %v", f)
	}
	for path, change := range map[string]func(*Announcement){
		"service":     func(a *Announcement) { a.Service = "S" },
		"instance":    func(a *Announcement) { a.Instance = "" },
		"incarnation": func(a *Announcement) { a.Incarnation = "a b" },
		"address":     func(a *Announcement) { a.Address = "host:80" },
		"state":       func(a *Announcement) { a.State = "gone" },
		"slots":       func(a *Announcement) { a.Slots = 0 },
		"running":     func(a *Announcement) { a.Running = -1 },
	} {
		a := valid
		change(&a)
		if f := a.Validate(); len(f) != 1 || f[0].Path != path {
			t.Errorf("%s: %v", path, f)
		}
	}
}

// FuzzLoadDocument checks that no input makes the parser or the validator panic,
// that every error is a *DocumentError with faults, and that a valid document
// survives a JSON round trip and has a consistent index.
func FuzzLoadDocument(f *testing.F) {
	f.Add([]byte("name: d\navailability_zones: [{name: z}]\npools: [{name: p}]\n"))
	f.Add([]byte(`{"name":"d","services":[{"name":"s","longest_run":"1s","queues":[{"name":"q","objective":{"ratio":.nan}}]}]}`))
	f.Add([]byte("- - ? a\n: {b: [c"))
	f.Add([]byte("name: &a [*a]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := LoadDocument(text)
		var derr *DocumentError
		if err != nil && (!errors.As(err, &derr) || len(derr.Faults) == 0) {
			t.Fatalf("error is not a *DocumentError with faults: %v", err)
		}
		if err != nil {
			return
		}
		encoded, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := LoadDocument(encoded); err != nil || !reflect.DeepEqual(NewIndex(&decoded), NewIndex(&doc)) {
			t.Fatalf("%s differs after a JSON round trip: %v", encoded, err)
		}
		ix := NewIndex(&doc)
		for _, s := range doc.Services {
			if _, ok := ix.Pool(s.Pool); !ok {
				t.Fatalf("service %s refers to a pool that is not in the index", s.Name)
			}
			for _, q := range s.Queues {
				if r, ok := ix.Queue(q.Name); !ok || r.Service.Name != s.Name {
					t.Fatalf("index does not map queue %s to its service", q.Name)
				}
			}
		}
	})
}
