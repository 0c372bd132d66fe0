package cluster

import (
	"github.com/pkg/errors"

	"magnoliastand.example/codec"
)

// Methods of the peer links.
const (
	methodLog  = "cluster.log"
	methodForm = "cluster.form"
	methodJoin = "cluster.join"
	methodLead = "cluster.lead"
)

// codeNotLeader refuses a call that only the leader serves.
const codeNotLeader = "not-leader"

// Bounds of decoding.
const (
	maxItems = 1 << 20
	maxDepth = 32
)

// ErrMalformed tells that a message can't be decoded.
var ErrMalformed = errors.New("cluster: malformed message")

var decMode = codec.Decoder(codec.Limits{Items: maxItems, Depth: maxDepth})

func decodeMessage(payload []byte, v any) error {
	if err := decMode.Unmarshal(payload, v); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// leadQuery asks who leads.
type leadQuery struct{}

// leadReply tells who leads, as far as the daemon knows.
type leadReply struct {
	Leader  string   `cbor:"1,keyasint,omitempty"`
	Term    uint64   `cbor:"2,keyasint,omitempty"`
	Members []string `cbor:"3,keyasint,omitempty"`
}
