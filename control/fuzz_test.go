package control

import (
	"bytes"
	"testing"
)

func fuzzState(t testing.TB) *State {
	s := New(testCluster, Options{})
	r := applyAll(s,
		applyDocumentCommand("a", 0, testDocument(2, 5)),
		grantKeyCommand("k", "team-0", testKey(1)),
		&Command{RegisterDaemon: &RegisterDaemon{Name: "d1", Incarnation: "i", Zone: "z1", Address: "10.0.0.1:1"}},
		&Command{AssignArbiter: &AssignArbiter{Zone: "z1", Daemon: "d1", Incarnation: "i", Term: 1}})
	if r.Refusal != nil {
		t.Fatal(r.Refusal)
	}
	return s
}

// FuzzDecodeCommand applies every input that decodes and checks that the resulting
// state can be restored from a snapshot without a difference.
func FuzzDecodeCommand(f *testing.F) {
	for _, c := range []*Command{withdrawKeyCommand("w", testKey(1).ID), grantKeyCommand("g", "team-1", testKey(2)), {Tick: &Tick{}}} {
		entry, err := EncodeCommand(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(entry)
	}
	f.Add([]byte{0xa1, 0x10, 0xa1, 0x03, 0x81, 0xa4, 0x01, 0x62, 'z', '1', 0x02, 0x01, 0x03, 0x66, 't', 'e', 'a', 'm', '-', '0', 0x04, 0x03})
	f.Fuzz(func(t *testing.T, entry []byte) {
		c, err := DecodeCommand(entry)
		if err != nil {
			return
		}
		s := fuzzState(t)
		s.Apply(s.Index()+1, c)
		s.View()
		snap, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		again := New(testCluster, Options{})
		if err := again.Restore(snap); err != nil {
			t.Fatal(err)
		}
		if b, _ := again.Snapshot(); !bytes.Equal(snap, b) {
			t.Fatal("the restored state differs")
		}
	})
}

// FuzzDecodeDelta applies every input that decodes to a holder with a view and checks
// that the version does not decrease.
func FuzzDecodeDelta(f *testing.F) {
	for _, from := range []uint64{0, 1, 2} {
		b, err := EncodeDelta(fuzzState(f).Delta(from))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := DecodeDelta(b)
		if err != nil {
			return
		}
		h := NewHolder(testCluster)
		h.OfferView(fuzzState(t).View())
		before := h.View().Version()
		_, _ = h.Offer(d)
		_, _ = h.View().Authorize(testKey(1).Text)
		if h.View().Version() < before {
			t.Fatal("the version of the view decreased")
		}
	})
}

// FuzzRestore checks that every state restored from a mutated snapshot can be viewed
// and encoded again.
func FuzzRestore(f *testing.F) {
	snap, err := fuzzState(f).Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(snap)
	f.Fuzz(func(t *testing.T, b []byte) {
		s := New(testCluster, Options{})
		if s.Restore(b) != nil {
			return
		}
		s.View()
		if _, err := s.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}
