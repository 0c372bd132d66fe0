package storage

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
)

const checksumBytes = 8

// maxDecodeElements is the maximum length of an array in a stored record.
const maxDecodeElements = 1 << 20

var (
	encMode = mustEnc()
	decMode = mustDec()
)

func mustEnc() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDec() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		MaxArrayElements:  maxDecodeElements,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// encodeRecord encodes v and prepends a checksum over key and value.
func encodeRecord(key []byte, v any) ([]byte, error) {
	body, err := encMode.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "storage: encode record")
	}
	out := make([]byte, checksumBytes, checksumBytes+len(body))
	binary.BigEndian.PutUint64(out, checksum(key, body))
	return append(out, body...), nil
}

// decodeRecord verifies the checksum of a record and decodes it. Errors wrap
// ErrCorrupt.
func decodeRecord(key, rec []byte, v any) error {
	if len(rec) < checksumBytes {
		return errors.Wrapf(ErrCorrupt, "record %q is shorter than its checksum", key)
	}
	body := rec[checksumBytes:]
	if binary.BigEndian.Uint64(rec) != checksum(key, body) {
		return errors.Wrapf(ErrCorrupt, "record %q: checksum mismatch", key)
	}
	if err := decMode.Unmarshal(body, v); err != nil {
		return errors.Wrapf(ErrCorrupt, "record %q: %v", key, err)
	}
	return nil
}

// checksum also covers the key, so that a record stored under the wrong key is
// detected.
func checksum(key, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write(key)
	_, _ = d.Write(body)
	return d.Sum64()
}

// entryKey is the key of an entry: its index in big-endian order.
func entryKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}

// identity is the record that identifies the file format and the node.
type identity struct {
	Format uint64           `cbor:"1,keyasint"`
	Node   consensus.NodeID `cbor:"2,keyasint"`
}

// logMeta is the record that describes the stored log.
type logMeta struct {
	HardState consensus.HardState `cbor:"1,keyasint"`
	// First and Last are the indexes of the stored entries, zero for none.
	First    uint64                  `cbor:"2,keyasint"`
	Last     uint64                  `cbor:"3,keyasint"`
	Snapshot *consensus.SnapshotMeta `cbor:"4,keyasint,omitempty"`
}
