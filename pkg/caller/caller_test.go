package caller

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLocateWithoutEntriesFails(t *testing.T) {
	_, err := new(Client).Locate(t.Context(), "levy-status")
	require.Error(t, err)
}
