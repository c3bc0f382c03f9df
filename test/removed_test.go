package test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/operator/v1/operatorv1connect"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// TestRemovedModelIsUnloaded checks that a model that is removed from the
// configuration is unloaded. It guards against a replica that stays loaded and
// keeps its memory reserved.
func TestRemovedModelIsUnloaded(t *testing.T) {
	f := newSmallFleet(t)
	ctx := context.Background()
	_, err := generate(ctx, f.client("tolwerk"), "warm", 1)
	require.NoError(t, err)
	e := f.entries[0]
	resp, err := operatorv1connect.NewOperatorCommandsClient(http.DefaultClient, "http://"+e.operator).
		Publish(ctx, connect.NewRequest(&operatorv1.PublishRequest{BaseVersion: e.configVersion(), Operator: "test", Deletes: []*recordv1.ConfigKey{
			{Kind: recordv1.ConfigKind_CONFIG_KIND_ADAPTER, Name: "levy-status-nl"},
			{Kind: recordv1.ConfigKind_CONFIG_KIND_MODEL, Name: "levy-status"},
		}}))
	require.NoError(t, err)
	require.Equal(t, operatorv1.PublishResult_PUBLISH_RESULT_ACCEPTED, resp.Msg.GetResult(), resp.Msg.GetDetail())
	require.Eventually(t, func() bool {
		rs, err := e.replicas()
		return err == nil && len(rs) == 0
	}, conditionTimeout, 50*time.Millisecond)
}
