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

// MaxIDBytes bounds the length of a request id.
const MaxIDBytes = 128

// Kind tells how an id of the home form came into being.
type Kind byte

// Kinds of home ids.
const (
	// KindHanded ids were handed out for a request that a caller sends later.
	KindHanded Kind = 'h'
	// KindOwn ids were given by an origin to a request without an id. Only that
	// origin starts them, within the same call, so no record of them is needed:
	// a resend of one is always answered as unknown. Guessing one gains nothing,
	// so they carry no tag.
	KindOwn Kind = 'a'
)

const (
	counterBase = 36
	secretBytes = 32
	tagBytes    = 10 // 50 bits are used: 10 characters of 5 bits
)

var tagEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// ID is a parsed id of the home form
// "<zone>.<daemon>-<incarnation>.<kind><counter>[-<tag>]".
type ID struct {
	Zone        string
	Daemon      string
	Incarnation string
	Kind        Kind
	Counter     uint64
	Tag         string
}

// Home returns the "<zone>.<daemon>-<incarnation>" part.
func (id ID) Home() string { return id.Zone + "." + id.Daemon + "-" + id.Incarnation }

// ParseID parses s. It reports false if s does not have the home form.
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
	if id.Kind != KindHanded && id.Kind != KindOwn {
		return false
	}
	counter, tag, tagged := strings.Cut(unique[1:], "-")
	if tagged != (id.Kind == KindHanded) || tagged && len(tag) != tagBytes {
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

// ErrID is the cause of errors for ids that callers may not use.
var ErrID = errors.New("invalid request id")

// CheckID returns an error unless s may serve as a request id: 1 to MaxIDBytes
// letters, digits and the characters "._:-".
func CheckID(s string) error {
	if s == "" || len(s) > MaxIDBytes {
		return errors.Wrapf(ErrID, "length must be 1 to %d bytes", MaxIDBytes)
	}
	for i := range len(s) {
		if !idByte(s[i]) {
			return errors.Wrapf(ErrID, "byte %d is not a letter, a digit or one of \"._:-\"", i+1)
		}
	}
	return nil
}

func idByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	default:
		return strings.IndexByte("._:-", b) >= 0
	}
}

// minter makes and verifies the ids of one daemon incarnation. The tag keeps
// callers from guessing the ids of others. It is not safe for concurrent use.
type minter struct {
	prefix string // "<zone>.<daemon>-<incarnation>."
	secret [secretBytes]byte
	mac    hash.Hash
}

func newMinter(home string) *minter {
	var secret [secretBytes]byte
	// crypto/rand.Read never fails; it ends the process instead.
	_, _ = rand.Read(secret[:])
	return newMinterWith(home, secret)
}

func newMinterWith(home string, secret [secretBytes]byte) *minter {
	return &minter{prefix: home + ".", secret: secret, mac: hmac.New(sha256.New, secret[:])}
}

func (m *minter) mint(kind Kind, counter uint64) string {
	var buf [24]byte
	unique := append(buf[:0], byte(kind))
	unique = strconv.AppendUint(unique, counter, counterBase)
	if kind == KindOwn {
		return m.prefix + string(unique)
	}
	tag := m.tag(unique)
	return m.prefix + string(unique) + "-" + tag
}

// verify reports whether the minter made a handed-out id.
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
