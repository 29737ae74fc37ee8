package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/egretflow/egretflow"
	"github.com/pkg/errors"
)

// errStaleFencing means that an engine has accepted a higher fencing token.
var errStaleFencing = errors.New("fencing token is stale")

// stateLoading is the state of an engine that loads a model.
const stateLoading = "Loading"

// order is the body of POST /orders and of the response to GET /orders
// (docs/engine-protocol.md).
type order struct {
	Fencing uint64              `json:"fencing"`
	Role    egretflow.Role      `json:"role"`
	Model   egretflow.ModelName `json:"model"`
	Adapter string              `json:"adapter"`
	Version string              `json:"version"`
	State   string              `json:"state,omitempty"`
}

// engineLoad holds the fields of the response to GET /load that commands depend
// on.
type engineLoad struct {
	Running  int  `json:"running"`
	Waiting  int  `json:"waiting"`
	Draining bool `json:"draining"`
}

// engineStatus is what an engine reported in one PollInterval.
type engineStatus struct {
	order order
	load  engineLoad
}

// engineClient calls the engines of a pool.
type engineClient struct {
	client *http.Client
	scheme string
}

func (e engineClient) read(ctx context.Context, s *egretflow.Server) (engineStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, CommandTimeout)
	defer cancel()
	var r engineStatus
	if err := e.call(ctx, s, http.MethodGet, "/orders", nil, &r.order); err != nil {
		return engineStatus{}, fmt.Errorf("read orders of %s: %w", s.Name, err)
	}
	if err := e.call(ctx, s, http.MethodGet, "/load", nil, &r.load); err != nil {
		return engineStatus{}, fmt.Errorf("read load of %s: %w", s.Name, err)
	}
	return r, nil
}

func (e engineClient) sendOrder(ctx context.Context, s *egretflow.Server, o order) error {
	ctx, cancel := context.WithTimeout(ctx, CommandTimeout)
	defer cancel()
	if err := e.call(ctx, s, http.MethodPost, "/orders", o, nil); err != nil {
		return fmt.Errorf("send order to %s: %w", s.Name, err)
	}
	return nil
}

// drain starts a drain of the engine, or ends it if on is false.
func (e engineClient) drain(ctx context.Context, s *egretflow.Server, on bool) error {
	ctx, cancel := context.WithTimeout(ctx, CommandTimeout)
	defer cancel()
	method := http.MethodPost
	if !on {
		method = http.MethodDelete
	}
	if err := e.call(ctx, s, method, "/drain", nil, nil); err != nil {
		return fmt.Errorf("set drain state of %s: %w", s.Name, err)
	}
	return nil
}

func (e engineClient) call(ctx context.Context, s *egretflow.Server, method, path string, body, result any) error {
	var data io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		data = bytes.NewReader(encoded)
	}
	r, err := http.NewRequestWithContext(ctx, method, e.scheme+"://"+s.Address.String()+path, data)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	// Responses have no id, and a faulty engine may repeat an earlier one on a kept
	// connection.
	r.Close = true
	resp, err := e.client.Do(r)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return responseError(resp.StatusCode, got)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(got, result); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// responseError returns errStaleFencing if the engine rejected a command because
// of its fencing token, and otherwise an error that states the status.
func responseError(status int, body []byte) error {
	var response struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &response) == nil && status == http.StatusConflict && response.Error.Code == "stale_fencing" {
		return errStaleFencing
	}
	return fmt.Errorf("engine responded with status %d", status)
}
