package cluster

import (
	"github.com/pkg/errors"

	"magnoliastand.example/codec"
)

// Peer link methods.
const (
	methodLog  = "cluster.log"
	methodForm = "cluster.form"
	methodJoin = "cluster.join"
	methodLead = "cluster.lead"
)

// codeNotLeader is the error code of a call that only the leader serves.
const codeNotLeader = "not-leader"

// Decoder limits.
const (
	maxItems = 1 << 20
	maxDepth = 32
)

// ErrMalformed is returned for messages that cannot be decoded.
var ErrMalformed = errors.New("cluster: malformed message")

var decMode = codec.Decoder(codec.Limits{Items: maxItems, Depth: maxDepth})

func decodeMessage(payload []byte, v any) error {
	if err := decMode.Unmarshal(payload, v); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// leadQuery requests the current leader.
type leadQuery struct{}

// leadReply contains the current leader as far as the daemon knows.
type leadReply struct {
	Leader  string   `cbor:"1,keyasint,omitempty"`
	Term    uint64   `cbor:"2,keyasint,omitempty"`
	Members []string `cbor:"3,keyasint,omitempty"`
}
