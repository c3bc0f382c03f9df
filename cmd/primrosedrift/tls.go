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
		&cli.StringFlag{Name: "tls-trust", Usage: "file with the authorities that vouch for entry instances; switches TLS on"},
		&cli.StringFlag{Name: "tls-certificate", Usage: "file with the certificate to show"},
		&cli.StringFlag{Name: "tls-key", Usage: "file with its key"},
	}
}

// usesTLS reports whether the command connects by TLS.
func usesTLS(c *cli.Command) bool {
	return c.String("tls-trust") != ""
}

func scheme(c *cli.Command) string {
	if usesTLS(c) {
		return "https://"
	}
	return "http://"
}

// httpClient returns the client for entry instances. It keeps as many
// connections as a load needs.
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
