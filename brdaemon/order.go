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

// maxOrderAnswer bounds what is read of an endpoint's answer, in bytes.
const maxOrderAnswer = 64 << 10

// postOrder sends an order to an endpoint. The error has the kind order_refused
// when the endpoint answered that it will not carry the order out.
func postOrder(ctx context.Context, address string, o brengine.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("brdaemon: encode order: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+brengine.PathOrders, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("brdaemon: order: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("brdaemon: order: %w", err)
	}
	defer res.Body.Close()
	answer, _ := io.ReadAll(io.LimitReader(res.Body, maxOrderAnswer)) // only for the message
	switch {
	case res.StatusCode < 300:
		return nil
	case res.StatusCode >= 400 && res.StatusCode < 500:
		return brerror.New(brerror.OrderRefused, "endpoint answered %d: %.200s", res.StatusCode, answer)
	}
	return fmt.Errorf("brdaemon: order: endpoint answered %d: %.200s", res.StatusCode, answer)
}

// getState reads an endpoint's state back.
func getState(ctx context.Context, address string) (brengine.State, error) {
	var st brengine.State
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+brengine.PathState, nil)
	if err != nil {
		return st, fmt.Errorf("brdaemon: state: %w", err)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return st, fmt.Errorf("brdaemon: state: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return st, fmt.Errorf("brdaemon: state: endpoint answered %d", res.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxOrderAnswer)).Decode(&st); err != nil {
		return st, fmt.Errorf("brdaemon: state: %w", err)
	}
	return st, nil
}
