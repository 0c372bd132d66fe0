package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLine is the longest line that Read accepts, in bytes. A daemon's log lines are
// at most 4,096 bytes long.
const maxLine = 1 << 20

// Line is one line of a daemon's log.
type Line struct {
	Time    time.Time      `json:"time"`
	Daemon  string         `json:"daemon"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Log is the content of one or more log files.
type Log struct {
	Lines []Line
	// Unreadable counts the lines that are no log lines.
	Unreadable int
}

// Read adds the lines of a log file. Text before the first brace of a line, as
// added by log collectors, is skipped. Read returns an error if r fails or if a line
// is longer than 1 MiB.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		if len(bytes.TrimSpace(text)) == 0 {
			continue
		}
		line, ok := parse(text)
		if !ok {
			l.Unreadable++
			continue
		}
		l.Lines = append(l.Lines, line)
	}
	return errors.Wrap(scanner.Err(), "read log")
}

// parse decodes a line, which must have a time and a message.
func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	decoder := json.NewDecoder(bytes.NewReader(text[start:]))
	decoder.UseNumber()
	var fields map[string]any
	if decoder.Decode(&fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.Message, line.Daemon, line.Level = line.text("message"), line.text("daemon"), line.text("level")
	at, err := time.Parse(time.RFC3339Nano, line.text("time"))
	if err != nil || line.Message == "" {
		return Line{}, false
	}
	line.Time = at
	for _, name := range []string{"time", "daemon", "level", "message"} {
		delete(fields, name)
	}
	return line, true
}

// text returns a field as text, or "" if there is none.
func (l *Line) text(name string) string {
	switch v := l.Fields[name].(type) {
	case string:
		return v
	case json.Number:
		return v.String()
	case bool:
		return strconv.FormatBool(v)
	}
	return ""
}

// number returns a field as a number, or 0.
func (l *Line) number(name string) float64 {
	v, ok := l.Fields[name].(json.Number)
	if !ok {
		return 0
	}
	f, _ := v.Float64()
	return f
}

// list returns a field that is a list of texts.
func (l *Line) list(name string) []string {
	items, _ := l.Fields[name].([]any)
	var out []string
	for _, item := range items {
		if s, ok := item.(string); ok {
			out = append(out, s)
		}
	}
	return out
}

// job returns the job that the line is about, or "".
func (l *Line) job() string {
	if job := l.text("job"); job != "" {
		return job
	}
	if task := l.text("task"); task != "" {
		job, _, _ := strings.Cut(task, ".")
		return job
	}
	path := l.text("path")
	return path[strings.LastIndexByte(path, '/')+1:]
}
