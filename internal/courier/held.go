package courier

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// HeldState is what the kernel knows of a connection without a request.
type HeldState string

// States of a held connection.
const (
	// HeldOpen says that the other end has not closed it.
	HeldOpen HeldState = "open"
	// HeldEnded says that the other end has closed or reset it.
	HeldEnded HeldState = "ended"
	// HeldUnusable says that bytes have arrived on it, which no request has asked for, or that it was closed here.
	HeldUnusable HeldState = "unusable"
)

// Held is a connection that is kept open without a request. A connection that is open shows that the process at its
// other end lives, and one that has ended stays ended, so it can also be looked at late.
type Held struct {
	pool    *Pool
	address string

	mu       sync.Mutex
	conn     *conn
	state    HeldState
	isClosed bool
}

// Hold returns an idle connection to the address if a response on it, or its opening, came at or after since, and opens
// one otherwise. It does not report failures to OnDial: an upstream that has no room resets new connections.
func (p *Pool) Hold(ctx context.Context, address string, since time.Time) (*Held, error) {
	c := p.popIdleSince(address, since)
	if c == nil {
		began := time.Now()
		nc, err := p.connect(ctx, address)
		if err != nil {
			return nil, &Error{Address: address, Err: err, IsDial: true, IsNew: true}
		}
		if p.OnDial != nil {
			p.OnDial(address, time.Since(began), nil)
		}
		c = p.newConn(nc)
	}
	return &Held{pool: p, address: address, conn: c, state: HeldOpen}, nil
}

// popIdleSince takes the last idle connection to an address out of the pool if it has been idle since a time or later,
// and is usable.
func (p *Pool) popIdleSince(address string, since time.Time) *conn {
	p.mu.Lock()
	list := p.idle[address]
	if len(list) == 0 || list[len(list)-1].idleAt.Before(since) {
		p.mu.Unlock()
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	p.mu.Unlock()
	if time.Since(c.idleAt) < c.maxIdle && c.peek() == HeldOpen {
		return c
	}
	_ = c.Close() // not used any more, so the error does not matter
	return nil
}

// State returns the state of the connection.
func (h *Held) State() HeldState {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isClosed && h.state == HeldOpen { // the kernel reports the error of a socket once
		h.state = h.conn.peek()
	}
	return h.state
}

// ExpiresAt returns the time until which the upstream is expected to keep the connection open.
func (h *Held) ExpiresAt() time.Time { return h.conn.idleAt.Add(h.conn.maxIdle) }

// HasStatedTimeout reports whether the upstream has stated for how long it keeps the connection open.
func (h *Held) HasStatedTimeout() bool { return h.conn.hasStatedTimeout }

// Release makes the connection available for requests, if it is open.
func (h *Held) Release() {
	if h.State() != HeldOpen {
		h.Close()
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isClosed {
		h.isClosed, h.state = true, HeldUnusable
		h.pool.put(h.address, h.conn)
	}
}

// Close closes the connection.
func (h *Held) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isClosed {
		h.isClosed, h.state = true, HeldUnusable
		_ = h.conn.Close() // nothing was sent on it
	}
}

// peek returns the state of a connection that carries no request.
func (c *conn) peek() HeldState {
	if c.r.Buffered() > 0 {
		return HeldUnusable
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return HeldOpen
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return HeldUnusable
	}
	state := HeldUnusable
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			state = HeldOpen
		case err != nil || n == 0:
			state = HeldEnded
		}
		return true
	})
	if err != nil {
		return HeldUnusable
	}
	return state
}

// IsConnected reports whether the connection of the response is open at both ends. It may be called while the body is
// read, and does not depend on how far it was read.
func (r *Response) IsConnected() bool {
	if r.conn == nil {
		return false
	}
	sc, ok := r.conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	isConnected := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isConnected = err == nil && info.State == unix.BPF_TCP_ESTABLISHED
	})
	return err == nil && isConnected
}
