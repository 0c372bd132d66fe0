package storage

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Layout of the two meta pages of a bbolt file. Transactions write them
// alternately. The data of each has a checksum and fits in one disk sector.
const (
	pageSize       = 4096
	metaPageCount  = 2
	metaPageOffset = 16
	metaPageBytes  = 56
	metaPageMagic  = 0xED0CDAED
)

// checkMetaPages returns an error unless both meta pages are intact. bbolt would
// fall back from a damaged meta page to the other one, which holds the state
// before the last transaction and may lack a vote or an entry that this node has
// already acknowledged to others.
func checkMetaPages(path string) error {
	f, err := os.Open(filepath.Clean(path))
	if err != nil {
		return errors.Wrap(ErrIO, err.Error())
	}
	pages := make([]byte, metaPageCount*pageSize)
	n, err := io.ReadFull(f, pages)
	if cerr := f.Close(); cerr != nil {
		return errors.Wrap(ErrIO, cerr.Error())
	}
	if err != nil {
		return errors.Wrapf(ErrCorrupt, "%s is truncated to %d bytes: %v", path, n, err)
	}
	unrecognized, damaged := 0, 0
	for i := range metaPageCount {
		meta := pages[i*pageSize+metaPageOffset:]
		switch {
		case binary.LittleEndian.Uint32(meta) != metaPageMagic:
			unrecognized++
		case binary.LittleEndian.Uint64(meta[metaPageBytes:]) != metaPageChecksum(meta[:metaPageBytes]):
			damaged++
		}
	}
	switch {
	case unrecognized == metaPageCount:
		return errors.Wrap(ErrUnrecognized, path)
	case unrecognized+damaged > 0:
		return errors.Wrapf(ErrCorrupt, "%s: damaged head page", path)
	}
	return nil
}

// metaPageChecksum is the checksum that bbolt uses for meta pages.
func metaPageChecksum(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return h.Sum64()
}
