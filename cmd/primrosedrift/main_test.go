package main

import (
	"context"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// nobody is an address at which nothing listens.
const nobody = "127.0.0.1:1"

func TestExitCodes(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want int
		text string
	}{
		{"required flag", []string{"get"}, exitUsage, "entry"},
		{"unknown flag", []string{"get", "--entri", "x"}, exitUsage, "entri"},
		{"no file", []string{"publish", "--entry", nobody}, exitUsage, "needs one operators' file"},
		{"no subject", []string{"explain", "--entry", nobody}, exitUsage, "needs one subject"},
		{"absent settings", []string{"check", "absent.toml"}, exitUsage, "absent.toml"},
		{"good examples", []string{"check", "--operators-file", "../../examples/thottam/operators.toml", "../../examples/thottam/entry-1.toml"}, 0, ""},
		{"nobody to get from", []string{"get", "--entry", nobody}, exitFailed, "is the entry instance up"},
		{"nobody to explain", []string{"explain", "--entry", nobody, "x"}, exitFailed, "are they up"},
		{"nobody to report", []string{"report", "burn", "--entry", nobody}, exitFailed, "are they up"},
		{"nobody to call", []string{"call", "--entry", nobody, "--customer", "c", "--model", "m"}, exitRefused, "not-run"},
		{"direct without operator", []string{"bench", "load", "--entry", nobody, "--direct-share", "0.5", "../../examples/load/mixed.toml"}, exitUsage, "--operator"},
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
