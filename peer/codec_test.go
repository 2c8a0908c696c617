package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"testing"
)

// rawMessage is a message that codec reads and writes unchanged.
type rawMessage struct{ json.RawMessage }

func TestCodecKeepsMessagesApart(t *testing.T) {
	var wire bytes.Buffer
	w, r := new(codec), new(codec)
	large, err := json.Marshal(bytes.Repeat([]byte("x"), 2*maxKeptBufferBytes))
	if err != nil {
		t.Fatal(err)
	}
	sent := [][]byte{[]byte(`{"a":1}`), large, []byte(`[2]`), []byte(`{"b":"three"}`)}
	for _, data := range sent {
		if err := w.WriteObject(&wire, &rawMessage{data}); err != nil {
			t.Fatal(err)
		}
	}
	reader := bufio.NewReader(&wire)
	got := make([]rawMessage, len(sent))
	for i := range got {
		if err := r.ReadObject(reader, &got[i]); err != nil {
			t.Fatal(err)
		}
	}
	for i := range sent {
		if !bytes.Equal(got[i].RawMessage, sent[i]) {
			t.Errorf("message %d differs", i)
		}
	}
	if cap(r.buf) > maxKeptBufferBytes {
		t.Errorf("codec keeps a read buffer of %d bytes", cap(r.buf))
	}
}

func TestCodecRefusesBadMessages(t *testing.T) {
	tooLarge := binary.AppendUvarint(nil, maxMessageBytes+1)
	short := append(binary.AppendUvarint(nil, 10), "{}"...)
	for name, wire := range map[string][]byte{"too large": tooLarge, "short": short, "empty": nil} {
		if err := new(codec).ReadObject(bufio.NewReader(bytes.NewReader(wire)), new(rawMessage)); err == nil {
			t.Errorf("%s message was read", name)
		}
	}
}
