package record

import (
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"magnoliastand.example/dispatch"
)

// TestCBORRoundTrip encodes and decodes every message with all fields set.
func TestCBORRoundTrip(t *testing.T) {
	token := Token{Origin: dispatch.DaemonID{Name: "d", Incarnation: "i"}, Seq: 7}
	digest := NewDigest("t", "q", []byte("b"))
	answer := &Answer{Status: 200, Fields: []Field{{Name: "A", Value: "b"}}, Body: []byte("c")}
	home := &TransferredHome{Home: "z.d-i", Secret: []byte{1}, Counter: 2, Watermark: 1, Left: time.Minute}
	part := Part{Home: home, Entries: []TransferredEntry{{
		ID: "x", Token: token, Digest: digest, State: 2, Answer: answer,
		Refused: true, RefusedAgo: 1, HoldLeft: 2, Left: 3,
	}}, AbstainLeft: time.Second}
	messages := []any{
		BeginRequest{ID: "x", Token: token, Digest: digest, Hold: time.Second},
		BeginReply{Verdict: Answered, Holder: token, Answer: answer, Refused: true, RefusedAgo: 4},
		FinishRequest{ID: "x", Token: token, Digest: digest, Result: ResultAnswered, Answer: answer, Idempotent: true},
		LookupRequest{ID: "x", Digest: digest, Wait: time.Second},
		LookupReply{Verdict: Answered, Answer: answer},
		HoldRequest{Daemon: "d", Incarnation: "i", Index: 1, Last: true, Part: part},
		InheritRequest{Daemon: "d", Incarnation: "i", Index: 1},
		InheritReply{Found: true, Last: true, Part: part},
	}
	for _, m := range messages {
		encoded, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		decoded := reflect.New(reflect.TypeOf(m))
		if err := cbor.Unmarshal(encoded, decoded.Interface()); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(decoded.Elem().Interface(), m) {
			t.Errorf("%T: %+v became %+v", m, m, decoded.Elem().Interface())
		}
	}
}
