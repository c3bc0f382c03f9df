package test

import (
	"context"
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/operator/v1/operatorv1connect"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// TestInvalidPublishChangesNothing sends a contract without a waiting time
// directly to the API, without the check of the publish command. The configuration
// in force must not change.
func TestInvalidPublishChangesNothing(t *testing.T) {
	f := newSmallFleet(t)
	before := f.entries[0].configVersion()
	resp, err := operatorv1connect.NewOperatorCommandsClient(http.DefaultClient, "http://"+f.entries[0].operator).
		Publish(context.Background(), connect.NewRequest(&operatorv1.PublishRequest{
			BaseVersion: before, Operator: "test", Upserts: []*recordv1.ConfigObject{
				{Object: &recordv1.ConfigObject_Contract{Contract: &recordv1.Contract{Customer: "tolwerk", Concurrency: 1}}},
			},
		}))
	require.NoError(t, err)
	require.Equal(t, operatorv1.PublishResult_PUBLISH_RESULT_INVALID, resp.Msg.GetResult())
	require.Contains(t, resp.Msg.GetDetail(), "contract tolwerk")
	require.Equal(t, before, resp.Msg.GetVersion())
	require.Equal(t, before, f.entries[0].configVersion())
}
