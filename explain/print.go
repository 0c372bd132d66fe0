package explain

import (
	"fmt"
	"io"
)

// timeFormat has the resolution of the daemons' logs.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Print writes the story for people.
func (s *Story) Print(w io.Writer) error {
	p := &printer{w: w}
	p.printf("%s %s\n", s.Kind, s.ID)
	p.lines("", s.Lines)
	p.lines("around it:", s.Around)
	for _, m := range s.Missing {
		p.printf("missing: %s\n", m)
	}
	p.printf("cause: %s\n", s.Cause)
	return p.err
}

// printer keeps the first error of its writes.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) lines(title string, lines []Line) {
	if title != "" && len(lines) > 0 {
		p.printf("%s\n", title)
	}
	for i := range lines {
		p.printf("  %s %s %s\n", lines[i].Time.Format(timeFormat), lines[i].Daemon, describe(&lines[i]))
	}
}
