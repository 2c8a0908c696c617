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
	// maxMessageBytes bounds the size of a message. The largest response fits, in
	// base64.
	maxMessageBytes = 128 << 20
	// maxKeptBufferBytes bounds the read buffer that a connection reuses for its
	// messages.
	maxKeptBufferBytes = 64 << 10
)

// codec is a jsonrpc2.ObjectCodec that writes the length of a message as a varint in
// front of it, as jsonrpc2.VarintObjectCodec does. It reads a whole message into a
// buffer that it reuses, and calls the message's own MarshalJSON and UnmarshalJSON,
// which saves passes over the JSON text.
type codec struct {
	buf  []byte      // used only by the goroutine that reads the connection
	conn *serverConn // whose budget the messages are taken from, or nil
}

// newStream returns the stream of messages on the connection.
func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(boundedConn{conn}, new(codec))
}

// newServerStream returns the stream of messages on a connection that another process opened.
func newServerStream(conn *serverConn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, &codec{conn: conn})
}

// writeTimeout bounds how long a remote process that does not read can block a write.
const writeTimeout = 5 * time.Second

// boundedConn is a connection whose writes end after writeTimeout. It closes itself
// when a write fails.
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
		return fmt.Errorf("message of type %T does not implement json.Marshaler", obj)
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
		return fmt.Errorf("message of type %T does not implement json.Unmarshaler", v)
	}
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if length > maxMessageBytes {
		return fmt.Errorf("message of %d bytes exceeds the size limit", length)
	}
	data, taken, err := c.read(stream, int(length))
	defer c.conn.release(taken)
	if err != nil {
		return err
	}
	err = message.UnmarshalJSON(data)
	c.conn.messageRead()
	return err
}

// messageCost is the memory that a byte of a message takes while it is read and decoded: the
// buffer is copied when it grows, and the message copies its parameters.
const messageCost = 3

// read reads a message of the given length. It reuses c.buf for lengths up to maxKeptBufferBytes.
// The buffer of a longer message grows with what has arrived, and its room is taken from the
// budget. The caller releases taken, also after an error.
func (c *codec) read(stream io.Reader, length int) (data []byte, taken int64, err error) {
	if cap(c.buf) < min(length, maxKeptBufferBytes) {
		c.buf = make([]byte, min(length, maxKeptBufferBytes))
	}
	data = c.buf[:min(length, maxKeptBufferBytes)]
	for arrived := 0; ; {
		if _, err := io.ReadFull(stream, data[arrived:]); err != nil {
			return nil, taken, err
		}
		if arrived = len(data); arrived == length {
			return data, taken, nil
		}
		size := min(2*arrived, length)
		more := int64(size-arrived) * messageCost
		if !c.conn.take(more) {
			return nil, taken, errNoRoom
		}
		taken += more
		grown := make([]byte, size)
		copy(grown, data)
		data = grown
	}
}
