package main

import (
	"math"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/primrosedrift/primrosedrift/internal/keyring"
)

// tlsFlags apply to every command that connects to an entry instance.
func tlsFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "tls-trust", Usage: "file with the certificate authorities trusted for entry instances; enables TLS"},
		&cli.StringFlag{Name: "tls-certificate", Usage: "file with the client certificate"},
		&cli.StringFlag{Name: "tls-key", Usage: "file with the private key of the client certificate"},
	}
}

// usesTLS reports whether the command connects with TLS.
func usesTLS(c *cli.Command) bool {
	return c.String("tls-trust") != ""
}

func scheme(c *cli.Command) string {
	if usesTLS(c) {
		return "https://"
	}
	return "http://"
}

// httpClient returns the client for entry instances. Its limit of idle
// connections is high enough for bench load.
func httpClient(c *cli.Command) *http.Client {
	t := &http.Transport{
		MaxIdleConnsPerHost: math.MaxInt16, IdleConnTimeout: 90 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	if usesTLS(c) {
		keys := &keyring.Keyring{Files: keyring.Files{
			Certificate: c.String("tls-certificate"), Key: c.String("tls-key"), Trust: c.String("tls-trust"),
		}}
		t.DialTLSContext = keys.Dial
	}
	return &http.Client{Transport: t}
}
