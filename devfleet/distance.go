package devfleet

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/baobablanding/baobablanding/loopback"
)

const (
	relayChunk   = 32 << 10 // bytes read at once
	relayBacklog = 4096     // chunks on their way
)

// distance relays the connections between the data centres of a fleet and
// delays what they carry.
type distance struct {
	oneWay  time.Duration
	owners  sync.Map // process id to data centre
	mu      sync.Mutex
	closers []io.Closer
}

// place registers the data centre of a process.
func (d *distance) place(pid int, dataCentre string) { d.owners.Store(pid, dataCentre) }

// relay starts a relay to the target in the data centre and returns its
// address.
func (d *distance) relay(target, dataCentre string) (string, error) {
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

func (d *distance) track(c io.Closer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closers = append(d.closers, c)
}

// close ends every relay and connection.
func (d *distance) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.closers {
		c.Close()
	}
}

func (d *distance) accept(listener net.Listener, target, dataCentre string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go d.forward(conn, target, dataCentre)
	}
}

// forward carries one connection. It is closed at both ends when either ends.
func (d *distance) forward(from net.Conn, target, dataCentre string) {
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
	carry := func(dst, src net.Conn) {
		pump(dst, src, delay)
		done <- struct{}{}
	}
	go carry(to, from)
	go carry(from, to)
	<-done
}

// delay returns the delay between the process at the other end of the
// connection and the data centre.
func (d *distance) delay(conn net.Conn, dataCentre string) time.Duration {
	pid, err := ownerOf(conn, d.owners.Range)
	if err != nil {
		return d.oneWay
	}
	if home, ok := d.owners.Load(pid); ok && home == dataCentre {
		return 0
	}
	return d.oneWay
}

// parcel is data on its way.
type parcel struct {
	data []byte
	due  time.Time
}

// pump copies src to dst with a delay, until either ends.
func pump(dst io.Writer, src io.Reader, delay time.Duration) {
	if delay == 0 {
		_, _ = io.Copy(dst, src)
		return
	}
	way := make(chan parcel, relayBacklog)
	go func() {
		defer close(way)
		for {
			buf := make([]byte, relayChunk)
			n, err := src.Read(buf)
			if n > 0 {
				way <- parcel{buf[:n], time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	deliver(dst, way)
}

// deliver writes each parcel when it is due. After a failure it drops the rest.
func deliver(dst io.Writer, way <-chan parcel) {
	var failed bool
	for p := range way {
		if failed {
			continue
		}
		time.Sleep(time.Until(p.due))
		_, err := dst.Write(p.data)
		failed = err != nil
	}
}
