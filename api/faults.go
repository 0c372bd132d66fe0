package api

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// DocumentError reports the faults found in a document or announcement.
type DocumentError struct {
	Faults []Fault
}

// Error implements error. The text lists at most three faults.
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

// faultList collects faults.
type faultList struct {
	faults []Fault
}

func (l *faultList) addf(path, format string, args ...any) {
	l.faults = append(l.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// checkName checks that name is not empty and is a DNS label.
func (l *faultList) checkName(path, name string) {
	if name == "" {
		l.addf(path, "is required")
		return
	}
	if !IsName(name) {
		l.addf(path, "%s is not a name: use 1 to %d of a-z, 0-9 and -, with a letter or digit at both ends", quote(name), MaxNameLen)
	}
}

// checkIntRange checks that lo <= v <= hi.
func (l *faultList) checkIntRange(path string, v, lo, hi int64) {
	if v < lo || v > hi {
		l.addf(path, "%d is outside %d to %d", v, lo, hi)
	}
}

// checkDuration checks that lo <= v <= hi.
func (l *faultList) checkDuration(path string, v Duration, lo, hi time.Duration) {
	if v.Std() < lo || v.Std() > hi {
		l.addf(path, "%s is outside %s to %s", v, lo, hi)
	}
}

// checkCount checks the length n of a list against limit. It returns false if the
// list is too long for its items to be checked.
func (l *faultList) checkCount(path string, n, limit int) bool {
	if n > limit {
		l.addf(path, "has %d items; at most %d are allowed", n, limit)
		return false
	}
	return true
}

// checkUnique reports a duplicate use of key. seen maps each key to the path that
// used it first. Empty keys are ignored.
func (l *faultList) checkUnique(seen map[string]string, path, key string) {
	if key == "" {
		return
	}
	if first, ok := seen[key]; ok {
		l.addf(path, "%s is already used by %s", quote(key), first)
		return
	}
	seen[key] = path
}

// itemPath returns the path of item i of the list at path list.
func itemPath(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }

// quote returns s in quotes. Text after the first 80 bytes is replaced by "...".
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
