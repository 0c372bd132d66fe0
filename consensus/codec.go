package consensus

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Decoding limits that bound the memory and recursion which malicious or corrupt
// input can cause.
const (
	maxDecodeElements = 1 << 17
	maxDecodeNesting  = 8
)

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
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxArrayElements: maxDecodeElements,
		MaxMapPairs:      maxDecodeElements,
		MaxNestedLevels:  maxDecodeNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Marshal encodes a message as CBOR.
func (m *Message) Marshal() ([]byte, error) {
	b, err := encMode.Marshal(m)
	return b, errors.Wrap(err, "consensus: encode message")
}

// UnmarshalMessage decodes and validates a message. Errors wrap ErrBadMessage.
func UnmarshalMessage(b []byte) (Message, error) {
	var m Message
	if err := decMode.Unmarshal(b, &m); err != nil {
		return Message{}, errors.Wrap(ErrBadMessage, err.Error())
	}
	return m, m.Validate()
}

// Validate returns an error wrapping ErrBadMessage if the fields of the message
// are inconsistent with each other or with its type.
func (m *Message) Validate() error {
	if m.Type < MsgPreVote || m.Type > MsgTimeoutNow || m.From == None || m.Term == 0 {
		return errors.Wrapf(ErrBadMessage, "type %d, from %x, term %d", m.Type, uint64(m.From), m.Term)
	}
	if m.From == m.To {
		return errors.Wrap(ErrBadMessage, "sender and receiver are the same node")
	}
	if (m.Type == MsgSnapshot) != (m.Chunk != nil) {
		return errors.Wrap(ErrBadMessage, "snapshot chunk does not match the message type")
	}
	if m.Chunk != nil {
		return m.Chunk.validate(m.Index, m.Term)
	}
	if m.Type == MsgAppend {
		if m.LogTerm > m.Term {
			return errors.Wrap(ErrBadMessage, "log term exceeds the message term")
		}
		if err := checkEntries(m.Index, m.LogTerm, m.Entries); err != nil {
			return errors.Wrap(ErrBadMessage, err.Error())
		}
	}
	if n := len(m.Entries); n > 0 && (m.Type != MsgAppend || m.Entries[n-1].Term > m.Term) {
		return errors.Wrap(ErrBadMessage, "entries do not match the message type or term")
	}
	return nil
}

func (ch *Chunk) validate(index, term uint64) error {
	end := ch.Offset + uint64(len(ch.Data))
	if end < ch.Offset || end > ch.Meta.Size {
		return errors.Wrap(ErrBadMessage, "chunk extends past the end of its snapshot")
	}
	if index != ch.Meta.Index || index == 0 || ch.Meta.Term > term {
		return errors.Wrap(ErrBadMessage, "chunk does not match the snapshot index or term")
	}
	return nil
}
