package codec

import "testing"

type message struct {
	A int   `cbor:"1,keyasint"`
	B []int `cbor:"2,keyasint,omitempty"`
}

func TestDecoderRejectsInvalidInput(t *testing.T) {
	strict := Decoder(Limits{Items: 16, Depth: 4, Strict: true})
	lenient := Decoder(Limits{Items: 16, Depth: 4})
	for name, tc := range map[string]struct {
		input      []byte
		strict, ok bool
	}{
		"plain":             {[]byte{0xa1, 0x01, 0x05}, true, true},
		"duplicate key":     {[]byte{0xa2, 0x01, 0x05, 0x01, 0x06}, false, false},
		"indefinite length": {[]byte{0xa1, 0x02, 0x9f, 0x01, 0xff}, false, false},
		"too many items":    {append([]byte{0xa1, 0x02, 0x91}, make([]byte, 17)...), false, false},
		"unknown field":     {[]byte{0xa1, 0x09, 0x05}, false, true},
	} {
		var m message
		if err := strict.Unmarshal(tc.input, &m); (err == nil) != tc.strict {
			t.Errorf("%s, strict decoder: %v", name, err)
		}
		if err := lenient.Unmarshal(tc.input, &m); (err == nil) != tc.ok {
			t.Errorf("%s, lenient decoder: %v", name, err)
		}
	}
}
