//go:build review

package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// directory keeps the addresses of frontends, as clients do: it asks up to three machines, and keeps
// what it knows if none answers.
type directory struct {
	fleet *fleet

	mu   sync.Mutex
	list []string
}

func newDirectory(ctx context.Context, f *fleet) *directory {
	d := &directory{fleet: f}
	d.resolve()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(d.resolve())
		}
	}()
	return d
}

func (d *directory) resolve() (ttl time.Duration) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, n := range mrand.Perm(len(d.fleet.instances))[:min(3, len(d.fleet.instances))] {
		i := d.fleet.instances[n]
		resp, err := client.Get("http://" + i.address(portDirectory) + "/resolve?name=h.example&region=region-a&zone=" + i.zone)
		if err != nil {
			continue
		}
		var a struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl-s"`
		}
		err = json.NewDecoder(resp.Body).Decode(&a)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK || len(a.Addresses) == 0 {
			continue
		}
		d.mu.Lock()
		d.list = a.Addresses
		d.mu.Unlock()
		return time.Duration(min(max(a.TTL, 0.2), 5) * float64(time.Second))
	}
	return 500 * time.Millisecond
}

// pick returns an address at random, without those that have failed if there are others.
func (d *directory) pick(failed []string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var good []string
	for _, a := range d.list {
		if !slices.Contains(failed, a) {
			good = append(good, a)
		}
	}
	if len(good) == 0 {
		good = d.list
	}
	if len(good) == 0 {
		return ""
	}
	return good[mrand.IntN(len(good))]
}

// newTransport returns a transport for clients. Channels stay open for further requests.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second, DisableCompression: true,
	}
}

// newRequest returns a request of a client attempt.
func newRequest(ctx context.Context, method, address, path, id, body string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	check(err)
	r.GetBody = nil // keeps the transport from repeating it
	r.Host = "h.example"
	r.Header.Set("X-Request-Id", id)
	return r
}

func drain(r io.ReadCloser) (string, error) {
	b, err := io.ReadAll(r)
	_ = r.Close()
	return string(b), err
}
