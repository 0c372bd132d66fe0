package record

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"hash"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// MaxIDBytes is the maximum length of a request id.
const MaxIDBytes = 128

// Kind is the kind of an issued id.
type Kind byte

// Kinds of issued ids.
const (
	// KindIssued ids are given to a caller for a request that it sends later.
	KindIssued Kind = 'h'
	// KindInternal ids are assigned by an origin to a request that arrives
	// without an id. Only that origin starts them, within the same call, so
	// they are not recorded and a resend is always answered as unknown. They
	// have no tag because guessing one gains nothing.
	KindInternal Kind = 'a'
)

const (
	counterBase = 36
	secretBytes = 32
	tagBytes    = 10 // 50 bits are used: 10 characters of 5 bits
)

var tagEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// ID is a parsed issued id. Its form is
// "<zone>.<daemon>-<incarnation>.<kind><counter>[-<tag>]".
type ID struct {
	Zone        string
	Daemon      string
	Incarnation string
	Kind        Kind
	Counter     uint64
	Tag         string
}

// Home returns the "<zone>.<daemon>-<incarnation>" part of the id.
func (id ID) Home() string { return id.Zone + "." + id.Daemon + "-" + id.Incarnation }

// ParseID parses s. It returns false if s does not have the form of an issued
// id.
func ParseID(s string) (ID, bool) {
	if len(s) > MaxIDBytes {
		return ID{}, false
	}
	zone, rest, ok := strings.Cut(s, ".")
	if !ok || zone == "" {
		return ID{}, false
	}
	home, unique, ok := strings.Cut(rest, ".")
	if !ok {
		return ID{}, false
	}
	dash := strings.LastIndexByte(home, '-')
	if dash <= 0 || dash == len(home)-1 {
		return ID{}, false
	}
	id := ID{Zone: zone, Daemon: home[:dash], Incarnation: home[dash+1:]}
	return id, id.parseUnique(unique)
}

func (id *ID) parseUnique(unique string) bool {
	if unique == "" {
		return false
	}
	id.Kind = Kind(unique[0])
	if id.Kind != KindIssued && id.Kind != KindInternal {
		return false
	}
	counter, tag, tagged := strings.Cut(unique[1:], "-")
	if tagged != (id.Kind == KindIssued) || tagged && len(tag) != tagBytes {
		return false
	}
	n, err := strconv.ParseUint(counter, counterBase, 64)
	if err != nil || strconv.FormatUint(n, counterBase) != counter {
		return false
	}
	id.Counter = n
	id.Tag = tag
	return true
}

// ErrID is the cause of errors for invalid request ids.
var ErrID = errors.New("invalid request id")

// CheckID returns an error unless s is a valid request id: 1 to MaxIDBytes
// letters, digits and the characters "._:-".
func CheckID(s string) error {
	if s == "" || len(s) > MaxIDBytes {
		return errors.Wrapf(ErrID, "length must be 1 to %d bytes", MaxIDBytes)
	}
	for i := range len(s) {
		if !isIDByte(s[i]) {
			return errors.Wrapf(ErrID, "byte %d is not a letter, a digit or one of \"._:-\"", i+1)
		}
	}
	return nil
}

func isIDByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	default:
		return strings.IndexByte("._:-", b) >= 0
	}
}

// minter creates and verifies the ids of one daemon incarnation. The tag
// prevents callers from guessing each other's ids. It is not safe for
// concurrent use.
type minter struct {
	prefix string // "<zone>.<daemon>-<incarnation>."
	secret [secretBytes]byte
	mac    hash.Hash
}

func newMinter(home string) *minter {
	var secret [secretBytes]byte
	// crypto/rand.Read never returns an error; it terminates the process
	// instead.
	_, _ = rand.Read(secret[:])
	return newMinterWithSecret(home, secret)
}

func newMinterWithSecret(home string, secret [secretBytes]byte) *minter {
	return &minter{prefix: home + ".", secret: secret, mac: hmac.New(sha256.New, secret[:])}
}

func (m *minter) mint(kind Kind, counter uint64) string {
	var buf [24]byte
	unique := append(buf[:0], byte(kind))
	unique = strconv.AppendUint(unique, counter, counterBase)
	if kind == KindInternal {
		return m.prefix + string(unique)
	}
	tag := m.tag(unique)
	return m.prefix + string(unique) + "-" + tag
}

// verify reports whether this minter created the tag of an issued id.
func (m *minter) verify(id ID) bool {
	var buf [24]byte
	unique := append(buf[:0], byte(id.Kind))
	unique = strconv.AppendUint(unique, id.Counter, counterBase)
	return hmac.Equal([]byte(m.tag(unique)), []byte(id.Tag))
}

func (m *minter) tag(unique []byte) string {
	m.mac.Reset()
	m.mac.Write(unique)
	var sum [sha256.Size]byte
	return tagEncoding.EncodeToString(m.mac.Sum(sum[:0]))[:tagBytes]
}
