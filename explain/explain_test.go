package explain

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/pkg/errors"
)

// TestStories runs the files of testdata. The command "logs" takes lines of logs, in
// short form: time in seconds, daemon, level, message and JSON fields, separated by
// bars. The command "raw" takes lines as they are. "explain ID" prints the story.
func TestStories(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var log Log
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "logs":
				var b strings.Builder
				for _, line := range strings.Split(d.Input, "\n") {
					p := strings.SplitN(line, "|", 5)
					fmt.Fprintf(&b, `{"time":"2026-03-01T10:00:%sZ","daemon":%q,"level":%q,"message":%q%s}`+"\n", p[0], p[1], p[2], p[3], p[4])
				}
				d.Input = b.String()
				fallthrough
			case "raw":
				if err := log.Read(strings.NewReader(d.Input)); err != nil {
					return err.Error()
				}
				return fmt.Sprintf("%d lines, %d unreadable", len(log.Lines), log.Unreadable)
			case "explain":
				s, err := Explain(&log, d.CmdArgs[0].Key)
				if err != nil {
					return err.Error()
				}
				var b bytes.Buffer
				if err := s.Print(&b); err != nil {
					return err.Error()
				}
				return b.String()
			}
			return "unknown command " + d.Cmd
		})
	})
}

func TestStoryAsJSONKeepsFields(t *testing.T) {
	var log Log
	text := `collector: {"time":"2026-03-01T10:00:00.5Z","daemon":"c1","level":"info","message":"job submitted","job":"a1","version":9007199254740993}`
	if err := log.Read(strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	s, err := Explain(&log, "a1")
	if err != nil {
		t.Fatal(err)
	}
	out, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(out), `"version":9007199254740993`) || !strings.Contains(string(out), `"time":"2026-03-01T10:00:00.5Z"`) {
		t.Errorf("fields are changed: %s", out)
	}
}

func TestUnknownIDAndLongLine(t *testing.T) {
	if _, err := Explain(&Log{}, "a1"); !errors.Is(err, ErrNotFound) {
		t.Errorf("error %v for an id in no line, want ErrNotFound", err)
	}
	var log Log
	if err := log.Read(strings.NewReader(strings.Repeat("x", maxLine+1))); err == nil {
		t.Error("no error for a line that is too long")
	}
}

// FuzzExplain reads arbitrary logs and explains arbitrary ids.
func FuzzExplain(f *testing.F) {
	f.Add(`{"time":"2026-03-01T10:00:00Z","message":"run ended","task":"a1.0.0.1","outcome":"lost","worker":"w"}`, "a1")
	f.Add(`x{"time":"2026-03-01T10:00:00Z","message":"tasks assigned","workers":[1,null,"w"],"path":"/"}`, "w")
	f.Add(`{"time":"2026-03-01T10:00:00Z","message":"job finished","job":{"a":1},"age_ms":"x","late":true}`, "wave/1")
	f.Fuzz(func(t *testing.T, text, id string) {
		var log Log
		if log.Read(strings.NewReader(text)) != nil {
			return
		}
		if s, err := Explain(&log, id); err == nil && s.Cause == "" {
			t.Errorf("no cause for %q", id)
		}
	})
}
