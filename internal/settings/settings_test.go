package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validSettings = `instance = "entry-1"
data-centre = "zaal-utr"
[listen]
caller = "127.0.0.1:7001"
peer = "127.0.0.1:7002"
operator = "127.0.0.1:7003"
[platform]
log = "http://127.0.0.1:9000"
instance-list = "http://127.0.0.1:9001"
[timing]
keep-warm = "5m"
`

func TestFaultsNameLineAndKey(t *testing.T) {
	tests := []struct {
		name     string
		old, new string // the replacement made in validSettings
		want     []string
	}{
		{"valid", "", "", nil},
		{"missing instance", `instance = "entry-1"`, "", []string{"f.toml: instance: is missing"}},
		{"invalid address", `caller = "127.0.0.1:7001"`, `caller = "here"`, []string{"f.toml:4: listen.caller: needs host:port"}},
		{"missing address", `caller = "127.0.0.1:7001"`, "", []string{"f.toml:3: listen.caller: needs host:port"}},
		{"invalid URL", `log = "http://127.0.0.1:9000"`, `log = "127.0.0.1:9000"`, []string{"f.toml:8: platform.log: needs a URL"}},
		{"unknown key", `keep-warm = "5m"`, `keep-wram = "5m"`, []string{"f.toml:11: timing.keep-wram: unknown key"}},
		{"invalid duration", `keep-warm = "5m"`, `keep-warm = "5"`, []string{"f.toml:11: timing.keep-warm: "}},
		{"wrong type", `keep-warm = "5m"`, `keep-warm = [1]`, []string{"f.toml:11: timing.keep-warm: "}},
		{"negative duration", `keep-warm = "5m"`, `keep-warm = "-5m"`, []string{"f.toml:11: timing.keep-warm: must not be negative"}},
		{"syntax error", `[timing]`, `[timing`, []string{"f.toml:10: "}},
		{"unknown log level", `[timing]`, "[log]\nlevel = 'loud'\n[timing]", []string{"f.toml:11: log.level: must be"}},
		{"missing TLS files", "[timing]", "[tls.peer]\ncertificate = 'c'\n[timing]", []string{"f.toml:10: tls.peer.key: is missing", "f.toml:10: tls.peer.trust: is missing"}},
		{
			"several faults at once", `caller = "127.0.0.1:7001"`, "caller = 7001\npear = ''\n[limits]\nqueued-requests = \"many\"\npending-records = -1\n[listen2]",
			[]string{":3: listen.peer", ":3: listen.operator", ":4: listen.caller", ":5: listen.pear", ":7: limits.queued-requests", ":8: limits.pending-records: must not be negative"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("f.toml", []byte(strings.Replace(validSettings, tt.old, tt.new, 1)))
			if tt.want == nil {
				require.NoError(t, err)
				return
			}
			var faults Faults
			require.ErrorAs(t, err, &faults)
			for _, w := range tt.want {
				require.ErrorContains(t, err, w)
			}
		})
	}
}

func TestDefaults(t *testing.T) {
	s, err := Parse("f.toml", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, DefaultLocateKeep, s.Timing.LocateKeep.Duration)
	require.Equal(t, DefaultQueuedRequests, s.Limits.QueuedRequests)
	require.Equal(t, "info", s.Log.Level)
}

func TestExampleSettingsAreValid(t *testing.T) {
	tests := []struct {
		dir          string
		numInstances int
		dataCentres  []string
	}{
		{"tolwerk", 7, []string{"zaal-utr", "zaal-amf", "zaal-ngn"}},
		{"thottam", 6, []string{"kochi-a", "kochi-b", "kochi-c"}},
	}
	for _, tt := range tests {
		files, err := filepath.Glob("../../examples/" + tt.dir + "/entry-*.toml")
		require.NoError(t, err)
		require.Len(t, files, tt.numInstances)
		seen := make(map[string]bool)
		for _, f := range files {
			s, err := Load(f)
			require.NoError(t, err)
			require.Contains(t, tt.dataCentres, s.DataCentre)
			require.False(t, seen[s.Instance] || seen[s.Listen.Caller], f)
			seen[s.Instance], seen[s.Listen.Caller] = true, true
		}
	}
}

// FuzzParse checks that no input causes a panic, and that every fault names the
// file.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	for _, name := range []string{"../../examples/tolwerk/entry-1.toml", "../../examples/thottam/entry-1.toml"} {
		data, err := os.ReadFile(name)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte("[[listen]]\ncaller = 1"))
	f.Add([]byte("a.b.c = {d = [{e = 1}]}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse("f.toml", data)
		if err == nil {
			return
		}
		var faults Faults
		require.ErrorAs(t, err, &faults)
		require.NotEmpty(t, faults)
		for _, v := range faults {
			require.Equal(t, "f.toml", v.File)
			require.NotEmpty(t, v.Text)
		}
	})
}
