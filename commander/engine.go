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

// errStale means that an engine has obeyed a higher fencing token.
var errStale = errors.New("fencing token is stale")

// stateLoading is the state of an engine that loads a model.
const stateLoading = "Loading"

// order is the body of POST /orders and of the answer to GET /orders
// (docs/engine-protocol.md).
type order struct {
	Fencing uint64              `json:"fencing"`
	Role    egretflow.Role      `json:"role"`
	Model   egretflow.ModelName `json:"model"`
	Adapter string              `json:"adapter"`
	Version string              `json:"version"`
	State   string              `json:"state,omitempty"`
}

// engineLoad is the part of GET /load that commands depend on.
type engineLoad struct {
	Running  int  `json:"running"`
	Waiting  int  `json:"waiting"`
	Draining bool `json:"draining"`
}

// reading is what an engine reported in one interval.
type reading struct {
	order order
	load  engineLoad
}

// engines calls the engines of a pool.
type engines struct {
	client *http.Client
	scheme string
}

func (e engines) read(ctx context.Context, s *egretflow.Server) (reading, error) {
	ctx, cancel := context.WithTimeout(ctx, CommandTimeout)
	defer cancel()
	var r reading
	if err := e.call(ctx, s, http.MethodGet, "/orders", nil, &r.order); err != nil {
		return reading{}, fmt.Errorf("read orders of %s: %w", s.Name, err)
	}
	if err := e.call(ctx, s, http.MethodGet, "/load", nil, &r.load); err != nil {
		return reading{}, fmt.Errorf("read load of %s: %w", s.Name, err)
	}
	return r, nil
}

func (e engines) order(ctx context.Context, s *egretflow.Server, o order) error {
	ctx, cancel := context.WithTimeout(ctx, CommandTimeout)
	defer cancel()
	if err := e.call(ctx, s, http.MethodPost, "/orders", o, nil); err != nil {
		return fmt.Errorf("order %s: %w", s.Name, err)
	}
	return nil
}

// drain starts or ends a drain.
func (e engines) drain(ctx context.Context, s *egretflow.Server, on bool) error {
	ctx, cancel := context.WithTimeout(ctx, CommandTimeout)
	defer cancel()
	method := http.MethodPost
	if !on {
		method = http.MethodDelete
	}
	if err := e.call(ctx, s, method, "/drain", nil, nil); err != nil {
		return fmt.Errorf("drain %s: %w", s.Name, err)
	}
	return nil
}

func (e engines) call(ctx context.Context, s *egretflow.Server, method, path string, body, answer any) error {
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
	resp, err := e.client.Do(r)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return refusal(resp.StatusCode, got)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(got, answer); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

func refusal(status int, body []byte) error {
	var answer struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &answer) == nil && status == http.StatusConflict && answer.Error.Code == "stale_fencing" {
		return errStale
	}
	return fmt.Errorf("engine answered %d", status)
}
