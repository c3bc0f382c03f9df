package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/platform"
)

func TestEntryRejectsMissingSettings(t *testing.T) {
	t.Setenv(platform.SettingsVariable, "")
	err := command().Run(t.Context(), []string{"primrosedrift", "entry"})
	require.Equal(t, exitUsage, exitCode(err))
}
