package loader

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// FetchRan fetches from the services at the URLs how often each key ran, and
// returns the sums.
func FetchRan(ctx context.Context, client *http.Client, urls []string) (map[string]int, error) {
	total := make(map[string]int)
	for _, u := range urls {
		ran, err := fetchRunCounts(ctx, client, u)
		if err != nil {
			return nil, errors.Wrapf(err, "fetch %s", u)
		}
		for k, n := range ran {
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
	ran := make(map[string]int)
	return ran, errors.Wrap(json.NewDecoder(resp.Body).Decode(&ran), "decode")
}
