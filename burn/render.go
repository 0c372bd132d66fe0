package burn

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// WriteText writes the report as a plain-text table.
func (r Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "QUEUE\tOBJECTIVE\tSTATUS\tBURN 5m\t1h\t6h\t72h\tREQUESTS\tP50\tP99")
	for _, q := range r.Queues {
		fmt.Fprintf(tw, "%s\t%s\t%s", q.Queue, q.objective(), q.Status)
		for _, b := range q.Windows {
			fmt.Fprintf(tw, "\t%.2f", b.Rate)
		}
		fmt.Fprintf(tw, "\t%d\t%s\t%s\n", q.Requests, formatLatency(q.P50.Std()), formatLatency(q.P99.Std()))
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "write report")
	}
	_, err := fmt.Fprintf(w, "daemons: %s\n%s", strings.Join(r.Daemons, ", "), r.missingLine())
	return errors.Wrap(err, "write report")
}

func (r Report) missingLine() string {
	if len(r.Missing) == 0 {
		return ""
	}
	return "missing, not counted: " + strings.Join(r.Missing, ", ") + "\n"
}

func (q QueueReport) objective() string {
	if !q.Objective {
		return "none"
	}
	return fmt.Sprintf("%g%% in %s", q.Ratio*100, q.Latency)
}

func formatLatency(d time.Duration) string {
	return d.Round(10 * time.Microsecond).String()
}

// Scale and maximum width of a bar in the HTML plot. The mark in htmlTemplate at
// x = 172.8 is pageRate * barPixelsPerRate.
const (
	barPixelsPerRate = 12
	barMaxPixels     = 300
)

var htmlTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"objective": func(q QueueReport) string { return q.objective() },
	"short":     func(q QueueReport) string { return formatLatency(q.P50.Std()) + " / " + formatLatency(q.P99.Std()) },
	"bar":       barPixels,
	"join":      func(s []string) string { return strings.Join(s, ", ") },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:.3em .8em;text-align:left;vertical-align:top}
.page{color:#b00020;font-weight:bold}.ticket{color:#a05a00;font-weight:bold}.missing{color:#b00020}</style></head><body>
<h1>Service-level burn</h1>
<p>At {{.At.UTC.Format "2006-01-02 15:04:05"}} UTC, from {{len .Daemons}} daemons: {{join .Daemons}}.</p>
{{if .Missing}}<p class="missing">Missing, not counted: {{join .Missing}}.</p>{{end}}
<table><tr><th>Queue</th><th>Objective</th><th>Status</th><th>Burn rate over 5 min, 1 h, 6 h, 72 h (mark: page at 14.4)</th><th>Requests</th><th>p50 / p99</th></tr>
{{range .Queues}}<tr><td>{{.Queue}}</td><td>{{objective .}}</td><td class="{{.Status}}">{{.Status}}</td>
<td><svg width="420" height="64" role="img" aria-label="burn rates of {{.Queue}}">
<line x1="172.8" y1="0" x2="172.8" y2="64" stroke="#b00020" stroke-dasharray="3"/>
{{range $i, $w := .Windows}}<rect x="0" y="{{bar $i}}" height="12" width="{{bar $w.Rate}}" fill="#4477aa"/><text x="310" y="{{bar $i}}" dy="11" font-size="12">{{$w.Window}}: {{printf "%.2f" $w.Rate}}</text>
{{end}}</svg></td><td>{{.Requests}}</td><td>{{short .}}</td></tr>
{{end}}</table></body></html>
`))

// barPixels returns the width of the bar for a float64 burn rate, or the vertical
// offset of the bar for an int row number.
func barPixels(v any) (float64, error) {
	switch x := v.(type) {
	case int:
		return float64(x * 16), nil
	case float64:
		return min(x*barPixelsPerRate, barMaxPixels), nil
	default:
		return 0, errors.Errorf("unsupported value type %T for a bar", v)
	}
}

// WriteHTML writes the report as an HTML page with a plot of the burn rates.
func (r Report) WriteHTML(w io.Writer) error {
	return errors.Wrap(htmlTemplate.Execute(w, r), "write report")
}
