package devfleet

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/baobablanding/baobablanding/loopback"
)

const (
	chunkBytes      = 32 << 10 // maximum size of one read in bytes
	maxQueuedChunks = 4096     // chunks that wait in one direction of a connection
)

// delayProxy simulates the network latency between the data centres of a fleet. It proxies
// connections to targets, and delays the data of those that come from a process in another
// data centre.
type delayProxy struct {
	oneWay      time.Duration // latency of one direction between two data centres
	dataCentres sync.Map      // process ID (int) to data centre (string)
	mu          sync.Mutex    // guards closers
	closers     []io.Closer   // all listeners and connections, also those that have ended
}

// setDataCentre sets the data centre of a process.
func (d *delayProxy) setDataCentre(pid int, dataCentre string) { d.dataCentres.Store(pid, dataCentre) }

// listen starts a proxy of the target, which is in the data centre, and returns the address
// of the proxy.
func (d *delayProxy) listen(target, dataCentre string) (string, error) {
	address, err := loopback.Address()
	if err != nil {
		return "", err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	d.track(listener)
	go d.accept(listener, target, dataCentre)
	return address, nil
}

// track adds a listener or connection to those that close closes.
func (d *delayProxy) track(c io.Closer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closers = append(d.closers, c)
}

// close closes all listeners and connections.
func (d *delayProxy) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.closers {
		c.Close()
	}
}

// accept forwards each connection of the listener, until the listener is closed.
func (d *delayProxy) accept(listener net.Listener, target, dataCentre string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go d.forward(conn, target, dataCentre)
	}
}

// forward forwards one connection to the target. It closes both connections when one of
// them ends.
func (d *delayProxy) forward(from net.Conn, target, dataCentre string) {
	defer from.Close()
	to, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer to.Close()
	d.track(from)
	d.track(to)
	delay := d.delay(from, dataCentre)
	done := make(chan struct{}, 2)
	copyAndSignal := func(dst, src net.Conn) {
		copyDelayed(dst, src, delay)
		done <- struct{}{}
	}
	go copyAndSignal(to, from)
	go copyAndSignal(from, to)
	<-done
}

// delay returns the latency between the process at the other end of the connection and the
// data centre: 0 if the process is in that data centre, and oneWay if it is in another one
// or cannot be found.
func (d *delayProxy) delay(conn net.Conn, dataCentre string) time.Duration {
	pid, err := socketOwner(conn, d.dataCentres.Range)
	if err != nil {
		return d.oneWay
	}
	if home, ok := d.dataCentres.Load(pid); ok && home == dataCentre {
		return 0
	}
	return d.oneWay
}

// delayedChunk is data that is to be written at the due time.
type delayedChunk struct {
	data []byte
	due  time.Time
}

// copyDelayed copies src to dst with a delay. It returns when src has ended and all of
// it is written; without a delay it also returns when a write fails.
func copyDelayed(dst io.Writer, src io.Reader, delay time.Duration) {
	if delay == 0 {
		_, _ = io.Copy(dst, src)
		return
	}
	queue := make(chan delayedChunk, maxQueuedChunks)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, chunkBytes)
			n, err := src.Read(buf)
			if n > 0 {
				queue <- delayedChunk{buf[:n], time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	writeWhenDue(dst, queue)
}

// writeWhenDue writes each chunk when it is due. After a failed write it discards the
// rest, so that a full queue does not block the reader.
func writeWhenDue(dst io.Writer, queue <-chan delayedChunk) {
	var failed bool
	for chunk := range queue {
		if failed {
			continue
		}
		time.Sleep(time.Until(chunk.due))
		_, err := dst.Write(chunk.data)
		failed = err != nil
	}
}
