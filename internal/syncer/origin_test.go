package syncer

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// TestOddRequestIDDoesNotStopOtherOrigins guards against one id of a client that is no UTF-8, for which
// the encoder would refuse the origins of all streams in the message.
func TestOddRequestIDDoesNotStopOtherOrigins(t *testing.T) {
	list := []*peerv1.Origin{encodeOrigin(streamtracker.Origin{Stream: "a"}), encodeOrigin(streamtracker.Origin{Stream: "b\xff"})}
	b, err := proto.Marshal(&peerv1.KeepOriginsRequest{Origins: list})
	require.NoError(t, err)
	var got peerv1.KeepOriginsRequest
	require.NoError(t, proto.Unmarshal(b, &got))
	require.Equal(t, "a", decodeOrigin(got.GetOrigins()[0]).Stream)
	require.Equal(t, "b\uFFFD", decodeOrigin(got.GetOrigins()[1]).Stream)
	require.Equal(t, decodeOrigin(got.GetOrigins()[1]).Stream, encodeID("b\xff"), "it is found by the same id")
}
