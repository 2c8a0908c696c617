// Package ctl implements baobabctl, the command line for operators.
package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/baobablanding/baobablanding/gateway"
	"github.com/baobablanding/baobablanding/httpserve"
	"github.com/baobablanding/baobablanding/result"
)

// callTimeout bounds one call to a gateway.
const callTimeout = 30 * time.Second

// ErrUnreachable is the error of a call to which the gateway did not respond.
var ErrUnreachable = errors.New("gateway is unreachable")

// Client calls the operators' API of a gateway. It may be used from several goroutines.
type Client struct {
	base string
	key  string
	http httpc.Service
}

// NewClient returns a client of the gateway at the base URL that authenticates with the
// operators' key.
func NewClient(base, key string) *Client {
	return &Client{base: base, key: key, http: httpserve.NewClient("gateway")}
}

// Get reads the resource at path into value. It returns ErrUnreachable if the gateway
// does not respond and a *result.Error if the gateway reports one.
func (c *Client) Get(ctx context.Context, path string, value any) error {
	return c.call(ctx, http.MethodGet, path, nil, value)
}

// Post sends body as JSON to path and reads the response into value. It returns the
// same errors as Get.
func (c *Client) Post(ctx context.Context, path string, body, value any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	return c.call(ctx, http.MethodPost, path, data, value)
}

// call sends one request and decodes the response into value.
func (c *Client) call(ctx context.Context, method, path string, body []byte, value any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.DoRequest(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if resp.StatusCode != http.StatusOK {
		return decodeError(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, value); err != nil {
		return fmt.Errorf("decode response of %s: %w", path, err)
	}
	return nil
}

// decodeError returns the error that the body of a gateway's response describes, as a
// *result.Error if it has a result code.
func decodeError(status int, data []byte) error {
	var body gateway.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == 0 {
		return fmt.Errorf("gateway responded with HTTP status %d and no result code; check that --gateway is the URL of a gateway", status)
	}
	e := &result.Error{Code: result.Code(body.Error.Code), Detail: body.Error.Message, Verdict: result.MayHaveRun}
	if body.Error.NotRun {
		e.Verdict = result.NotRun
	}
	return e
}
