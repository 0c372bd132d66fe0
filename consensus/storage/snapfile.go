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

// snapMagic opens each snapshot file and carries the format version.
const snapMagic = "MGSNAP01"

// Names of files in the folder.
const (
	dbName      = "consensus.db"
	tmpSuffix   = ".tmp"
	snapPattern = "snapshot-%016x.snap"
	fileMode    = 0o600
	folderMode  = 0o700
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

// encodeSnapshot returns the bytes of a snapshot file: magic, checksum of the
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

// decodeSnapshot reads the bytes of a snapshot file. Errors wrap ErrCorrupt or
// ErrForeign.
func decodeSnapshot(b []byte) (*consensus.Snapshot, error) {
	const head = len(snapMagic) + sumBytes
	const lenBytes = 4
	if len(b) >= len(snapMagic) && string(b[:len(snapMagic)]) != snapMagic {
		return nil, errors.Wrap(ErrForeign, "not a snapshot")
	}
	if len(b) < head+lenBytes {
		return nil, errors.Wrap(ErrCorrupt, "short file")
	}
	body := b[head:]
	if binary.BigEndian.Uint64(b[len(snapMagic):]) != xxhash.Sum64(body) {
		return nil, errors.Wrap(ErrCorrupt, "wrong checksum")
	}
	n := binary.BigEndian.Uint32(body)
	rest := body[lenBytes:]
	if uint64(n) > uint64(len(rest)) {
		return nil, errors.Wrap(ErrCorrupt, "metadata past the end")
	}
	s := &consensus.Snapshot{Data: rest[n:]}
	if err := decMode.Unmarshal(rest[:n], &s.SnapshotMeta); err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "metadata: %v", err)
	}
	if s.Size != uint64(len(s.Data)) || s.Sum != xxhash.Sum64(s.Data) {
		return nil, errors.Wrap(ErrCorrupt, "metadata contradicts data")
	}
	return s, nil
}

// writeFile writes a file through a temporary one, so that a file under its
// final name is whole, and syncs it. The caller syncs the folder.
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

// syncFolder makes created, renamed and removed names durable.
func syncFolder(dir string) error {
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
