package loader

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// FetchRunCounts gets from the services at the URLs how often each key ran, and
// adds up their counts.
func FetchRunCounts(ctx context.Context, client *http.Client, urls []string) (map[string]int, error) {
	total := make(map[string]int)
	for _, u := range urls {
		runCounts, err := fetchRunCounts(ctx, client, u)
		if err != nil {
			return nil, errors.Wrapf(err, "get %s", u)
		}
		for k, n := range runCounts {
			total[k] += n
		}
	}
	return total, nil
}

func fetchRunCounts(ctx context.Context, client *http.Client, url string) (map[string]int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %s", resp.Status)
	}
	runCounts := make(map[string]int)
	return runCounts, errors.Wrap(json.NewDecoder(resp.Body).Decode(&runCounts), "decode")
}
