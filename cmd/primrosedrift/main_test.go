package main

import (
	"context"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// unreachableAddress is an address on which no server listens.
const unreachableAddress = "127.0.0.1:1"

func TestExitCodes(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want int
		text string
	}{
		{"required flag", []string{"get"}, exitUsage, "entry"},
		{"unknown flag", []string{"get", "--entri", "x"}, exitUsage, "entri"},
		{"publish without a file", []string{"publish", "--entry", unreachableAddress}, exitUsage, "needs one operators' file"},
		{"explain without a subject", []string{"explain", "--entry", unreachableAddress}, exitUsage, "needs one subject"},
		{"missing settings file", []string{"check", "absent.toml"}, exitUsage, "absent.toml"},
		{"valid examples", []string{"check", "--operators-file", "../../examples/thottam/operators.toml", "../../examples/thottam/entry-1.toml"}, 0, ""},
		{"get from unreachable address", []string{"get", "--entry", unreachableAddress}, exitFailed, "is the entry instance up"},
		{"explain from unreachable address", []string{"explain", "--entry", unreachableAddress, "x"}, exitFailed, "are they up"},
		{"report from unreachable address", []string{"report", "burn", "--entry", unreachableAddress}, exitFailed, "are they up"},
		{"call to unreachable address", []string{"call", "--entry", unreachableAddress, "--customer", "c", "--model", "m"}, exitRefused, "not-run"},
		{"direct share without operator address", []string{"bench", "load", "--entry", unreachableAddress, "--direct-share", "0.5", "../../examples/load/mixed.toml"}, exitUsage, "--operator"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := command()
			c.Writer, c.ErrWriter = io.Discard, io.Discard
			err := c.Run(context.Background(), append([]string{"primrosedrift"}, tt.args...))
			if tt.want == 0 {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, tt.text)
			require.Equal(t, tt.want, exitCode(err), "%v", err)
		})
	}
}
