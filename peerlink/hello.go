package peerlink

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

// Identity is how a daemon names itself to its peers.
type Identity struct {
	// Cluster must be equal on both sides.
	Cluster string `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	// Incarnation differs at each start of the process.
	Incarnation string `cbor:"3,keyasint"`
	Zone        string `cbor:"4,keyasint"`
}

const nonceBytes = 16

// clientHello opens a link.
type clientHello struct {
	Version int      `cbor:"1,keyasint"`
	Self    Identity `cbor:"2,keyasint"`
	// Peer is the name that the client expects to reach.
	Peer  string `cbor:"3,keyasint"`
	Nonce []byte `cbor:"4,keyasint"`
}

// serverHello answers a clientHello and proves knowledge of the secret.
type serverHello struct {
	Version int      `cbor:"1,keyasint"`
	Self    Identity `cbor:"2,keyasint"`
	Nonce   []byte   `cbor:"3,keyasint"`
	Proof   []byte   `cbor:"4,keyasint"`
	// Refusal, when not empty, says why the server refuses the client.
	Refusal string `cbor:"5,keyasint,omitempty"`
}

// clientProof ends the hello from the client's side.
type clientProof struct {
	Proof []byte `cbor:"1,keyasint"`
}

// proofContent is what both proofs are computed over: everything that the two
// hellos said, so that no part of them can be replaced in transit.
type proofContent struct {
	Role        string   `cbor:"1,keyasint"`
	Client      Identity `cbor:"2,keyasint"`
	Server      Identity `cbor:"3,keyasint"`
	ClientNonce []byte   `cbor:"4,keyasint"`
	ServerNonce []byte   `cbor:"5,keyasint"`
}

const (
	roleClient = "client"
	roleServer = "server"
)

func (c proofContent) sign(secret []byte) ([]byte, error) {
	b, err := encode(c)
	if err != nil {
		return nil, err
	}
	mac := hmac.New(sha256.New, secret)
	mac.Write(b)
	return mac.Sum(nil), nil
}

func (c proofContent) verify(secret, proof []byte) error {
	want, err := c.sign(secret)
	if err != nil {
		return err
	}
	if !hmac.Equal(want, proof) {
		return errors.Wrapf(ErrRefused, "proof of the %s is wrong", c.Role)
	}
	return nil
}

func newNonce() []byte {
	n := make([]byte, nonceBytes)
	_, _ = rand.Read(n) // crypto/rand.Read never returns an error
	return n
}

// clientHandshake runs the hello on a dialled connection and returns the
// server's identity.
func clientHandshake(ctx context.Context, ws *websocket.Conn, self Identity, peer string, secret []byte) (Identity, error) {
	hello := clientHello{Version: protocolVersion, Self: self, Peer: peer, Nonce: newNonce()}
	if err := writeMessage(ctx, ws, hello); err != nil {
		return Identity{}, err
	}
	var reply serverHello
	if err := readMessage(ctx, ws, &reply); err != nil {
		return Identity{}, err
	}
	if reply.Refusal != "" {
		return Identity{}, errors.Wrap(ErrRefused, reply.Refusal)
	}
	if reply.Version != protocolVersion || reply.Self.Cluster != self.Cluster || reply.Self.Name != peer {
		return Identity{}, errors.Wrapf(ErrRefused, "expected %s of cluster %s, reached %s of cluster %s",
			peer, self.Cluster, reply.Self.Name, reply.Self.Cluster)
	}
	content := proofContent{Role: roleServer, Client: self, Server: reply.Self, ClientNonce: hello.Nonce, ServerNonce: reply.Nonce}
	if err := content.verify(secret, reply.Proof); err != nil {
		return Identity{}, err
	}
	content.Role = roleClient
	proof, err := content.sign(secret)
	if err != nil {
		return Identity{}, err
	}
	return reply.Self, writeMessage(ctx, ws, clientProof{Proof: proof})
}

// serverHandshake runs the hello on an accepted connection and returns the
// client's identity.
func serverHandshake(ctx context.Context, ws *websocket.Conn, self Identity, secret []byte) (Identity, error) {
	var hello clientHello
	if err := readMessage(ctx, ws, &hello); err != nil {
		return Identity{}, err
	}
	if refusal := refusalOf(hello, self); refusal != "" {
		_ = writeMessage(ctx, ws, serverHello{Version: protocolVersion, Refusal: refusal})
		return Identity{}, errors.Wrap(ErrRefused, refusal)
	}
	content := proofContent{Role: roleServer, Client: hello.Self, Server: self, ClientNonce: hello.Nonce, ServerNonce: newNonce()}
	proof, err := content.sign(secret)
	if err != nil {
		return Identity{}, err
	}
	reply := serverHello{Version: protocolVersion, Self: self, Nonce: content.ServerNonce, Proof: proof}
	if err := writeMessage(ctx, ws, reply); err != nil {
		return Identity{}, err
	}
	var answer clientProof
	if err := readMessage(ctx, ws, &answer); err != nil {
		return Identity{}, err
	}
	content.Role = roleClient
	return hello.Self, content.verify(secret, answer.Proof)
}

func refusalOf(hello clientHello, self Identity) string {
	switch {
	case hello.Version != protocolVersion:
		return "protocol version differs"
	case hello.Self.Cluster != self.Cluster:
		return "cluster differs"
	case hello.Peer != self.Name:
		return "this daemon has another name"
	case len(hello.Nonce) < nonceBytes:
		return "nonce too short"
	default:
		return ""
	}
}

func writeMessage(ctx context.Context, ws *websocket.Conn, v any) error {
	b, err := encode(v)
	if err != nil {
		return err
	}
	return writeFrame(ctx, ws, b)
}

func writeFrame(ctx context.Context, ws *websocket.Conn, b []byte) error {
	if err := ws.Write(ctx, websocket.MessageBinary, b); err != nil {
		return errors.Wrap(ErrDisconnected, err.Error())
	}
	return nil
}

func readMessage(ctx context.Context, ws *websocket.Conn, v any) error {
	_, b, err := ws.Read(ctx)
	if err != nil {
		return errors.Wrap(ErrDisconnected, err.Error())
	}
	return decode(b, v)
}
