//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes channels on. Open ones can go silent for good, while new ones work.
type proxy struct {
	address, to string

	mu     sync.Mutex
	silent chan struct{} // closed when the open channels go silent
}

func newProxy(to string) *proxy {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	p := &proxy{address: ln.Addr().String(), to: to, silent: make(chan struct{})}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p
}

// silence makes the open channels silent.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silent)
	p.silent = make(chan struct{})
}

func (p *proxy) pass(c net.Conn) {
	p.mu.Lock()
	silent := p.silent
	p.mu.Unlock()
	up, err := net.DialTimeout("tcp4", p.to, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	var wg sync.WaitGroup
	for _, x := range [][2]net.Conn{{c, up}, {up, c}} {
		wg.Go(func() { copyUntil(x[0], x[1], silent) })
	}
	wg.Wait()
	_ = up.Close()
	_ = c.Close()
}

// copyUntil copies until the channel ends or goes silent. A silent channel is read, and nothing of it is passed on.
func copyUntil(from, to net.Conn, silent <-chan struct{}) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		select {
		case <-silent:
			if err == nil {
				_, _ = io.Copy(io.Discard, from) // until the channel ends
			}
			return
		default:
		}
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
	}
}
