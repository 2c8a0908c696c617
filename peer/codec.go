package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxMessage bounds a message; it leaves room for the largest answer in
	// base64.
	maxMessage = 128 << 20 // bytes
	// maxKeptBuffer bounds the read buffer that a connection keeps.
	maxKeptBuffer = 64 << 10 // bytes
)

// codec writes each message behind its length, as jsonrpc2.VarintObjectCodec
// does. It reads a message as a whole into a buffer that it keeps, and lets the
// message encode and decode itself, which saves passes over the JSON text.
type codec struct {
	buf []byte // used by the connection's one reader
}

// newStream returns the messages of a connection.
func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(boundedConn{conn}, new(codec))
}

// writeTimeout bounds how long a process that does not read holds up a writer.
const writeTimeout = 5 * time.Second

// boundedConn is a connection that is closed when a write takes too long.
type boundedConn struct{ net.Conn }

// Write implements net.Conn.
func (c boundedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.Close()
	}
	return n, err
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c *codec) WriteObject(stream io.Writer, obj any) error {
	message, ok := obj.(json.Marshaler)
	if !ok {
		return fmt.Errorf("message of type %T does not encode itself", obj)
	}
	data, err := message.MarshalJSON()
	if err != nil {
		return err
	}
	var length [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(length[:], uint64(len(data)))
	if _, err := stream.Write(length[:n]); err != nil {
		return err
	}
	_, err = stream.Write(data)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c *codec) ReadObject(stream *bufio.Reader, v any) error {
	message, ok := v.(json.Unmarshaler)
	if !ok {
		return fmt.Errorf("message of type %T does not decode itself", v)
	}
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if length > maxMessage {
		return fmt.Errorf("message of %d bytes is too large", length)
	}
	data := c.buffer(int(length))
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	return message.UnmarshalJSON(data)
}

// buffer returns a buffer of the length. Large buffers are not kept.
func (c *codec) buffer(length int) []byte {
	if length > maxKeptBuffer {
		return make([]byte, length)
	}
	if cap(c.buf) < length {
		c.buf = make([]byte, length)
	}
	return c.buf[:length]
}
