package api

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// DocumentError reports every fault found in a document or announcement.
type DocumentError struct {
	Faults []Fault
}

// Error implements error. It lists at most three faults.
func (e *DocumentError) Error() string {
	const shown = 3
	texts := make([]string, 0, shown)
	for i, f := range e.Faults {
		if i == shown {
			texts = append(texts, fmt.Sprintf("and %d more", len(e.Faults)-shown))
			break
		}
		texts = append(texts, f.String())
	}
	return "invalid document: " + strings.Join(texts, "; ")
}

// faultList gathers faults.
type faultList struct {
	faults []Fault
}

func (l *faultList) addf(path, format string, args ...any) {
	l.faults = append(l.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// name checks that a required name is a DNS label.
func (l *faultList) name(path, name string) {
	if name == "" {
		l.addf(path, "is required")
		return
	}
	if !IsName(name) {
		l.addf(path, "%s is not a name: use 1 to %d of a-z, 0-9 and -, with a letter or digit at both ends", quote(name), MaxNameLen)
	}
}

// intRange checks lo <= v <= hi.
func (l *faultList) intRange(path string, v, lo, hi int64) {
	if v < lo || v > hi {
		l.addf(path, "%d is outside %d to %d", v, lo, hi)
	}
}

// duration checks lo <= v <= hi.
func (l *faultList) duration(path string, v Duration, lo, hi time.Duration) {
	if v.Std() < lo || v.Std() > hi {
		l.addf(path, "%s is outside %s to %s", v, lo, hi)
	}
}

// count checks the length of a list. It reports whether the items may be checked.
func (l *faultList) count(path string, n, limit int) bool {
	if n > limit {
		l.addf(path, "has %d items; at most %d are allowed", n, limit)
		return false
	}
	return true
}

// unique reports a second use of key; first names the path that used it before.
func (l *faultList) unique(seen map[string]string, path, key string) {
	if key == "" {
		return
	}
	if first, ok := seen[key]; ok {
		l.addf(path, "%s is already used by %s", quote(key), first)
		return
	}
	seen[key] = path
}

// itemPath returns the path of list item i.
func itemPath(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }

// quote returns s quoted, shortened to a bounded length.
func quote(s string) string {
	const limit = 80
	if len(s) > limit {
		return strconv.Quote(s[:limit]) + "..."
	}
	return strconv.Quote(s)
}

// IsName reports whether s is a DNS label: 1 to 63 lower-case letters, digits
// and hyphens, with a letter or digit at both ends.
func IsName(s string) bool {
	if s == "" || len(s) > MaxNameLen {
		return false
	}
	for i := 0; i < len(s); i++ {
		alnum := s[i] >= 'a' && s[i] <= 'z' || s[i] >= '0' && s[i] <= '9'
		edge := i == 0 || i == len(s)-1
		if !alnum && (edge || s[i] != '-') {
			return false
		}
	}
	return true
}
