package standin

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// Answer returns the body with which an Endpoint answers a request: it names
// id and queue, proves the body by its hash, tells its own length, and is
// padded to size bytes.
func Answer(id, queue string, body []byte, size int) []byte {
	sum := sha256.Sum256(body)
	head := id + " " + queue + " " + hex.EncodeToString(sum[:]) + " "
	// The length has a fixed width, so that it can be told before padding.
	const widthOfLength = 10
	n := max(size, len(head)+widthOfLength+1)
	length := strconv.Itoa(n)
	var b bytes.Buffer
	b.Grow(n)
	b.WriteString(head)
	b.Write(bytes.Repeat([]byte{'0'}, widthOfLength-len(length)))
	b.WriteString(length)
	b.WriteByte('\n')
	b.Write(bytes.Repeat([]byte{'.'}, n-b.Len()))
	return b.Bytes()
}

// WholeOwnAnswer reports whether answer is a whole answer to the request.
func WholeOwnAnswer(answer []byte, id, queue string, body []byte) bool {
	return bytes.Equal(answer, Answer(id, queue, body, len(answer)))
}
