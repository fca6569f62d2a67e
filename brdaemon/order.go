package brdaemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"bramleyroute/brengine"
	"bramleyroute/brerror"
)

// maxOrderResponse limits how much of an endpoint's response is read, in bytes.
const maxOrderResponse = 64 << 10

// postOrder sends an order to an endpoint through client. The error has the kind order_refused
// if the endpoint responds with a 4xx status, which means that it will not
// carry out the order.
func postOrder(ctx context.Context, client *http.Client, address string, o brengine.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("brdaemon: encode order: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+brengine.PathOrders, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("brdaemon: order: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := client.Do(r)
	if err != nil {
		return fmt.Errorf("brdaemon: order: %w", err)
	}
	defer res.Body.Close()
	responseBody, _ := io.ReadAll(io.LimitReader(res.Body, maxOrderResponse)) // used only in the error message
	switch {
	case res.StatusCode < 300:
		return nil
	case res.StatusCode >= 400 && res.StatusCode < 500:
		return brerror.New(brerror.OrderRefused, "endpoint responded with status %d: %.200s", res.StatusCode, responseBody)
	}
	return fmt.Errorf("brdaemon: order: endpoint responded with status %d: %.200s", res.StatusCode, responseBody)
}

// getState reads the state of an endpoint through client.
func getState(ctx context.Context, client *http.Client, address string) (brengine.State, error) {
	var st brengine.State
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+brengine.PathState, nil)
	if err != nil {
		return st, fmt.Errorf("brdaemon: state: %w", err)
	}
	res, err := client.Do(r)
	if err != nil {
		return st, fmt.Errorf("brdaemon: state: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return st, fmt.Errorf("brdaemon: state: endpoint responded with status %d", res.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxOrderResponse)).Decode(&st); err != nil {
		return st, fmt.Errorf("brdaemon: state: %w", err)
	}
	return st, nil
}
