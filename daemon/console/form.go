package console

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"magnoliastand.example/api"
)

// blankRows is the number of empty rows that each table offers.
const blankRows = 2

// maxRows bounds the rows of one table.
const maxRows = 2000

// cell is one input of a form: its name is the path of the document's field.
type cell struct {
	Path  string
	Value string
	Fault string
	// Check marks a check box.
	Check bool
}

// table is one list of the document as rows of inputs.
type table struct {
	Title   string
	Path    string
	Columns []string
	Rows    []row
}

// row is one element of the list.
type row struct {
	Cells []cell
	// Fault names a fault of the element as a whole.
	Fault string
}

// column is a column of a table: its name in the document and how it is read
// and written.
type column[T any] struct {
	name  string
	check bool
	get   func(*T) string
	set   func(*T, string) error
}

func text[T any](name string, field func(*T) *string) column[T] {
	return column[T]{name: name,
		get: func(v *T) string { return *field(v) },
		set: func(v *T, s string) error { *field(v) = s; return nil },
	}
}

func number[T any](name string, field func(*T) *int) column[T] {
	return column[T]{name: name,
		get: func(v *T) string { return strconv.Itoa(*field(v)) },
		set: func(v *T, s string) (err error) {
			*field(v), err = parseNumber(s)
			return err
		},
	}
}

func parseNumber(s string) (int, error) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0, fmt.Errorf("%q is not a whole number", s)
	}
	return n, nil
}

func flag[T any](name string, field func(*T) *bool) column[T] {
	return column[T]{name: name, check: true,
		get: func(v *T) string {
			if *field(v) {
				return "on"
			}
			return ""
		},
		set: func(v *T, s string) error { *field(v) = s == "on"; return nil },
	}
}

func duration[T any](name string, field func(*T) *api.Duration) column[T] {
	return column[T]{name: name,
		get: func(v *T) string { return field(v).String() },
		set: func(v *T, s string) error {
			if s == "" {
				*field(v) = 0
				return nil
			}
			return field(v).UnmarshalText([]byte(s))
		},
	}
}

func list[T any](name string, field func(*T) *[]string) column[T] {
	return column[T]{name: name,
		get: func(v *T) string { return strings.Join(*field(v), " ") },
		set: func(v *T, s string) error { *field(v) = strings.Fields(s); return nil },
	}
}

var poolColumns = []column[api.Pool]{
	text("name", func(p *api.Pool) *string { return &p.Name }),
	flag("spare", func(p *api.Pool) *bool { return &p.Spare }),
	number("min_instances", func(p *api.Pool) *int { return &p.MinInstances }),
	number("max_instances", func(p *api.Pool) *int { return &p.MaxInstances }),
}

var teamColumns = []column[api.Team]{
	text("name", func(t *api.Team) *string { return &t.Name }),
	number("share", func(t *api.Team) *int { return &t.Share }),
	number("limit", func(t *api.Team) *int { return &t.Limit }),
	number("job_limit", func(t *api.Team) *int { return &t.JobLimit }),
}

var waveColumns = []column[api.Wave]{
	text("name", func(w *api.Wave) *string { return &w.Name }),
	list("pools", func(w *api.Wave) *[]string { return &w.Pools }),
	number("canary", func(w *api.Wave) *int { return &w.Canary }),
	number("max_batch", func(w *api.Wave) *int { return &w.MaxBatch }),
	duration("drain_timeout", func(w *api.Wave) *api.Duration { return &w.DrainTimeout }),
	duration("reboot_timeout", func(w *api.Wave) *api.Duration { return &w.RebootTimeout }),
	number("stop_after_failures", func(w *api.Wave) *int { return &w.StopAfterFailures }),
	duration("period", func(w *api.Wave) *api.Duration { return &w.Period }),
}

// tableOf lays out a list with its faults at their inputs, and blank rows.
func tableOf[T any](title, path string, columns []column[T], items []T, faults map[string]string) table {
	t := table{Title: title, Path: path}
	for _, c := range columns {
		t.Columns = append(t.Columns, c.name)
	}
	for i := range len(items) + blankRows {
		at := fmt.Sprintf("%s[%d]", path, i)
		r := row{Fault: faults[at]}
		for _, c := range columns {
			cl := cell{Path: at + "." + c.name, Check: c.check}
			cl.Fault = faults[cl.Path]
			if i < len(items) {
				cl.Value = c.get(&items[i])
			}
			r.Cells = append(r.Cells, cl)
		}
		t.Rows = append(t.Rows, r)
	}
	return t
}

// readTable reads the rows of a list from a form. Rows without a name are left
// out, so that clearing the name removes an element. Inputs that can't be read
// are faults at the path that the element has in the result.
func readTable[T any](path string, columns []column[T], form url.Values, faults map[string]string) []T {
	var items []T
	for i := range maxRows {
		at := fmt.Sprintf("%s[%d]", path, i)
		if _, ok := form[at+".name"]; !ok {
			break
		}
		if strings.TrimSpace(form.Get(at+".name")) == "" {
			continue
		}
		var item T
		for _, c := range columns {
			if err := c.set(&item, strings.TrimSpace(form.Get(at+"."+c.name))); err != nil {
				faults[fmt.Sprintf("%s[%d].%s", path, len(items), c.name)] = err.Error()
			}
		}
		items = append(items, item)
	}
	return items
}

// editForm is the data of the edit page.
type editForm struct {
	Base   uint64
	Tables []table
	// Other lists faults that belong to no input.
	Other []api.Fault
}

// newEditForm lays out a document with its faults.
func newEditForm(doc *api.Document, base uint64, faults []api.Fault) editForm {
	at := make(map[string]string, len(faults))
	for _, f := range faults {
		at[f.Path] = f.Message
	}
	f := editForm{Base: base}
	f.Tables = []table{
		tableOf("Pools", "pools", poolColumns, doc.Pools, at),
		tableOf("Teams", "teams", teamColumns, doc.Teams, at),
		tableOf("Waves", "waves", waveColumns, doc.Waves, at),
	}
	shown := make(map[string]bool)
	for _, t := range f.Tables {
		for _, r := range t.Rows {
			for _, c := range r.Cells {
				shown[c.Path] = true
			}
		}
	}
	for _, fault := range faults {
		if !shown[fault.Path] {
			f.Other = append(f.Other, fault)
		}
	}
	return f
}

// readEditForm returns the document that a form asks for, on top of the parts
// of base that the form does not show, and the inputs that can't be read.
func readEditForm(base api.Document, form url.Values) (api.Document, []api.Fault) {
	unread := make(map[string]string)
	doc := base
	doc.Pools = readTable("pools", poolColumns, form, unread)
	doc.Teams = readTable("teams", teamColumns, form, unread)
	doc.Waves = readTable("waves", waveColumns, form, unread)
	var faults []api.Fault
	for path, message := range unread {
		faults = append(faults, api.Fault{Path: path, Message: message})
	}
	return doc, faults
}
