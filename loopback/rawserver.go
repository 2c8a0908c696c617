package loopback

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// RawServer is an HTTP server whose answers are written byte by byte. It serves one request on
// each connection.
type RawServer struct {
	listener net.Listener
	answer   func(conn *net.TCPConn, r *http.Request)
}

// NewRawServer starts a server that calls answer for each request, with the head read and the body
// unread, and then closes the connection. The caller ends the server with Close.
func NewRawServer(answer func(conn *net.TCPConn, r *http.Request)) (*RawServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &RawServer{listener: listener, answer: answer}
	go s.accept()
	return s, nil
}

// Address returns the host and port of the server.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// Close makes the server accept no more connections.
func (s *RawServer) Close() { s.listener.Close() }

func (s *RawServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn.(*net.TCPConn))
	}
}

// serve answers the request of the connection.
func (s *RawServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
		s.answer(conn, r)
	}
}

// CutAnswer writes the text, waits and resets the connection. If a part of the request is still to
// be written then, that write may be the only call of the client that learns of the reset.
func CutAnswer(conn *net.TCPConn, text string, wait time.Duration) {
	if _, err := io.WriteString(conn, text); err != nil {
		return
	}
	time.Sleep(wait)
	_ = conn.SetLinger(0) // Close resets the connection
	conn.Close()
}
