package storage

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Layout of the two head pages of a bbolt file. Transactions write them in
// turn; each is checksummed and lies within one disk sector.
const (
	pageSize   = 4096
	headCount  = 2
	headOffset = 16
	headBytes  = 56
	headMagic  = 0xED0CDAED
)

// checkHeads refuses a file unless both head pages are whole. The database
// library would fall back from a damaged head to the other one, which is the
// state before the last transaction and may lack a vote or an entry that others
// were told of.
func checkHeads(path string) error {
	f, err := os.Open(filepath.Clean(path))
	if err != nil {
		return errors.Wrap(ErrIO, err.Error())
	}
	pages := make([]byte, headCount*pageSize)
	n, err := io.ReadFull(f, pages)
	if cerr := f.Close(); cerr != nil {
		return errors.Wrap(ErrIO, cerr.Error())
	}
	if err != nil {
		return errors.Wrapf(ErrCorrupt, "%s is cut to %d bytes: %v", path, n, err)
	}
	foreign, damaged := 0, 0
	for i := range headCount {
		head := pages[i*pageSize+headOffset:]
		switch {
		case binary.LittleEndian.Uint32(head) != headMagic:
			foreign++
		case binary.LittleEndian.Uint64(head[headBytes:]) != headSum(head[:headBytes]):
			damaged++
		}
	}
	switch {
	case foreign == headCount:
		return errors.Wrap(ErrForeign, path)
	case foreign+damaged > 0:
		return errors.Wrapf(ErrCorrupt, "%s: damaged head page", path)
	}
	return nil
}

// headSum is the checksum that the database library uses for head pages.
func headSum(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return h.Sum64()
}
