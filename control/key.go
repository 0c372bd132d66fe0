package control

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

// Format of keys: "mk_<id>_<secret>", with id and secret in lower-case hex.
const (
	keyPrefix    = "mk_"
	keyIDBytes   = 8
	secretBytes  = 32
	keyIDLen     = 2 * keyIDBytes
	secretLen    = 2 * secretBytes
	keyLen       = len(keyPrefix) + keyIDLen + 1 + secretLen
	secretOffset = len(keyPrefix) + keyIDLen + 1
)

// Errors of View.Authorize.
var (
	// ErrKeyMissing is returned if no key is presented.
	ErrKeyMissing = errors.New("a team key is required")
	// ErrKeyInvalid is returned if the key is malformed, unknown or withdrawn, or if
	// its team is not in the document. The error does not distinguish these cases.
	ErrKeyInvalid = errors.New("the team key is not valid")
)

// KeyHash is the SHA-256 of the full key text. The secret has 256 random bits, so
// a brute-force search is infeasible, and a deliberately slow hash would add cost
// to each request without adding protection. The id in the text acts as a salt.
type KeyHash [sha256.Size]byte

// Key is a newly generated team key.
type Key struct {
	ID string
	// Text is the credential that the team presents. It is shown once and not stored.
	Text string
	Hash KeyHash
}

// NewKey generates a key from the system's secure random number generator.
func NewKey() Key {
	var raw [keyIDBytes + secretBytes]byte
	// Read never returns an error; it crashes the process if no randomness is
	// available.
	_, _ = rand.Read(raw[:])
	id := hex.EncodeToString(raw[:keyIDBytes])
	text := keyPrefix + id + "_" + hex.EncodeToString(raw[keyIDBytes:])
	return Key{ID: id, Text: text, Hash: HashKey(text)}
}

// HashKey returns the hash of a key's text. It does not allocate for keys of the
// regular length.
func HashKey(text string) KeyHash {
	var buf [keyLen]byte
	if len(text) != keyLen {
		return sha256.Sum256([]byte(text))
	}
	copy(buf[:], text)
	return sha256.Sum256(buf[:])
}

// Equal compares two hashes in constant time.
func (h KeyHash) Equal(other KeyHash) bool {
	return subtle.ConstantTimeCompare(h[:], other[:]) == 1
}

// splitKey returns the id of a key and reports whether the key is well-formed.
func splitKey(text string) (id string, ok bool) {
	if len(text) != keyLen || !strings.HasPrefix(text, keyPrefix) || text[secretOffset-1] != '_' {
		return "", false
	}
	id = text[len(keyPrefix) : secretOffset-1]
	return id, isHex(id) && isHex(text[secretOffset:])
}

// validKeyID reports whether s is a well-formed key id.
func validKeyID(s string) bool { return len(s) == keyIDLen && isHex(s) }

func isHex(s string) bool {
	for i := 0; i < len(s); i++ {
		if (s[i] < '0' || s[i] > '9') && (s[i] < 'a' || s[i] > 'f') {
			return false
		}
	}
	return true
}
