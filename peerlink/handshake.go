package peerlink

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

// Identity identifies a daemon to its peers.
type Identity struct {
	// Cluster must be equal on both sides.
	Cluster string `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	// Incarnation is unique to each start of the process.
	Incarnation string `cbor:"3,keyasint"`
	Zone        string `cbor:"4,keyasint"`
}

const nonceBytes = 16

// clientHello is the first message of the handshake.
type clientHello struct {
	Version int      `cbor:"1,keyasint"`
	Self    Identity `cbor:"2,keyasint"`
	// Peer is the name of the server that the client expects.
	Peer  string `cbor:"3,keyasint"`
	Nonce []byte `cbor:"4,keyasint"`
}

// serverHello is the reply to a clientHello. It proves that the server knows the
// secret.
type serverHello struct {
	Version int      `cbor:"1,keyasint"`
	Self    Identity `cbor:"2,keyasint"`
	Nonce   []byte   `cbor:"3,keyasint"`
	Proof   []byte   `cbor:"4,keyasint"`
	// Refusal is the reason for which the server rejects the client, if it does.
	Refusal string `cbor:"5,keyasint,omitempty"`
}

// clientProof is the last message of the handshake. It proves that the client
// knows the secret.
type clientProof struct {
	Proof []byte `cbor:"1,keyasint"`
}

// proofContent is the input of both proofs. It covers both identities and nonces,
// so that none of them can be replaced in transit. Role prevents the proof of one
// side from being sent back as that of the other.
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

// clientHandshake performs the handshake on a dialled connection and returns the
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

// serverHandshake performs the handshake on an accepted connection and returns
// the client's identity.
func serverHandshake(ctx context.Context, ws *websocket.Conn, self Identity, secret []byte) (Identity, error) {
	var hello clientHello
	if err := readMessage(ctx, ws, &hello); err != nil {
		return Identity{}, err
	}
	if refusal := refusalReason(hello, self); refusal != "" {
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
	var last clientProof
	if err := readMessage(ctx, ws, &last); err != nil {
		return Identity{}, err
	}
	content.Role = roleClient
	return hello.Self, content.verify(secret, last.Proof)
}

func refusalReason(hello clientHello, self Identity) string {
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
