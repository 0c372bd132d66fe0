package storage

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"magnoliastand.example/consensus"
)

// snapMagic is the prefix of each snapshot file and includes the format version.
const snapMagic = "MGSNAP01"

// Names and permissions of files in the directory.
const (
	dbName      = "consensus.db"
	tmpSuffix   = ".tmp"
	snapPattern = "snapshot-%016x.snap"
	fileMode    = 0o600
	dirMode     = 0o700
)

// snapName returns the file name of the snapshot at index.
func snapName(index uint64) string {
	return fmt.Sprintf(snapPattern, index)
}

// isSnapName reports whether a file name is that of a snapshot.
func isSnapName(name string) bool {
	var index uint64
	if _, err := fmt.Sscanf(name, snapPattern, &index); err != nil {
		return false
	}
	return name == snapName(index)
}

// encodeSnapshot returns the contents of a snapshot file: magic, checksum of the
// rest, length of the metadata, metadata, data.
func encodeSnapshot(s *consensus.Snapshot) ([]byte, error) {
	meta, err := encMode.Marshal(s.SnapshotMeta)
	if err != nil {
		return nil, errors.Wrap(err, "storage: encode snapshot")
	}
	body := binary.BigEndian.AppendUint32(nil, uint32(len(meta)))
	body = append(body, meta...)
	body = append(body, s.Data...)
	out := []byte(snapMagic)
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	return append(out, body...), nil
}

// decodeSnapshot decodes the contents of a snapshot file. Errors wrap ErrCorrupt or
// ErrUnrecognized.
func decodeSnapshot(b []byte) (*consensus.Snapshot, error) {
	const headerBytes = len(snapMagic) + checksumBytes
	const lenBytes = 4
	if len(b) >= len(snapMagic) && string(b[:len(snapMagic)]) != snapMagic {
		return nil, errors.Wrap(ErrUnrecognized, "not a snapshot file")
	}
	if len(b) < headerBytes+lenBytes {
		return nil, errors.Wrap(ErrCorrupt, "snapshot file is truncated")
	}
	body := b[headerBytes:]
	if binary.BigEndian.Uint64(b[len(snapMagic):]) != xxhash.Sum64(body) {
		return nil, errors.Wrap(ErrCorrupt, "snapshot file: checksum mismatch")
	}
	n := binary.BigEndian.Uint32(body)
	rest := body[lenBytes:]
	if uint64(n) > uint64(len(rest)) {
		return nil, errors.Wrap(ErrCorrupt, "snapshot metadata extends past the end of the file")
	}
	s := &consensus.Snapshot{Data: rest[n:]}
	if err := decMode.Unmarshal(rest[:n], &s.SnapshotMeta); err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "snapshot metadata: %v", err)
	}
	if s.Size != uint64(len(s.Data)) || s.Sum != xxhash.Sum64(s.Data) {
		return nil, errors.Wrap(ErrCorrupt, "snapshot data does not match its metadata")
	}
	return s, nil
}

// writeFile writes and syncs a temporary file and renames it, so that a file
// under its final name is complete. The caller syncs the directory.
func writeFile(path string, b []byte) error {
	f, err := os.OpenFile(path+tmpSuffix, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return errors.Wrap(ErrIO, err.Error())
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(path+tmpSuffix, path)
	}
	if err != nil {
		return errors.Wrap(ErrIO, err.Error())
	}
	return nil
}

// syncDir makes the creation, renaming and removal of files durable.
func syncDir(dir string) error {
	f, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return errors.Wrap(ErrIO, err.Error())
	}
	err = f.Sync()
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return errors.Wrap(ErrIO, err.Error())
	}
	return nil
}
