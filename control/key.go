package control

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

// Sizes and form of keys: "mk_<id>_<secret>", both parts in lower-case hex.
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
	// ErrKeyMissing means that no key was presented.
	ErrKeyMissing = errors.New("a team key is required")
	// ErrKeyInvalid means that the key is malformed, unknown or withdrawn, or that
	// its team is not in the document. The cases are not told apart.
	ErrKeyInvalid = errors.New("the team key is not valid")
)

// KeyHash is the SHA-256 of a key's whole text. The secret is 256 random bits,
// so a search through all secrets is out of reach and a deliberately slow hash
// would add cost to each request without adding protection. The id in the text
// acts as a salt.
type KeyHash [sha256.Size]byte

// Key is a newly generated key.
type Key struct {
	ID string
	// Text is what the team presents. It is shown once and never kept.
	Text string
	Hash KeyHash
}

// NewKey generates a key from the system's random source.
func NewKey() Key {
	var raw [keyIDBytes + secretBytes]byte
	// Read never returns an error; it ends the process if there is no randomness.
	_, _ = rand.Read(raw[:])
	id := hex.EncodeToString(raw[:keyIDBytes])
	text := keyPrefix + id + "_" + hex.EncodeToString(raw[keyIDBytes:])
	return Key{ID: id, Text: text, Hash: HashKey(text)}
}

// HashKey returns the hash of a key's text. It does not allocate.
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

// splitKey returns the id of a well-formed key.
func splitKey(text string) (id string, ok bool) {
	if len(text) != keyLen || !strings.HasPrefix(text, keyPrefix) || text[secretOffset-1] != '_' {
		return "", false
	}
	id = text[len(keyPrefix) : secretOffset-1]
	return id, isHex(id) && isHex(text[secretOffset:])
}

// validKeyID reports whether s has the form of a key id.
func validKeyID(s string) bool { return len(s) == keyIDLen && isHex(s) }

func isHex(s string) bool {
	for i := 0; i < len(s); i++ {
		if (s[i] < '0' || s[i] > '9') && (s[i] < 'a' || s[i] > 'f') {
			return false
		}
	}
	return true
}
