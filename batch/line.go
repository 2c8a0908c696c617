package batch

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"

	"github.com/baobablanding/baobablanding/result"
)

// maxLine is the largest batch line in bytes.
const maxLine = 4 << 20

// Item is one line of a batch file.
type Item struct {
	// CustomID is the caller's name of the item; it is unique in its file.
	CustomID string `json:"custom_id"`
	// Method is always POST.
	Method string `json:"method"`
	// URL is the endpoint's path.
	URL string `json:"url"`
	// Body is the request's body.
	Body json.RawMessage `json:"body"`
}

// Model returns the model that the item names, or "".
func (i *Item) Model() string {
	var head struct {
		Model string `json:"model"`
	}
	_ = json.Unmarshal(i.Body, &head)
	return head.Model
}

// ResultLine is one line of a result file.
type ResultLine struct {
	// ID identifies the line.
	ID string `json:"id"`
	// CustomID is the item's name.
	CustomID string `json:"custom_id"`
	// Response is the answer, or nil for an error line.
	Response *ResultResponse `json:"response"`
	// Error is the failure, or nil.
	Error *ResultError `json:"error"`
}

// ResultResponse is the answer to an item.
type ResultResponse struct {
	// StatusCode is the HTTP status.
	StatusCode int `json:"status_code"`
	// RequestID identifies the request at the upstream.
	RequestID string `json:"request_id"`
	// Body is the answer's body.
	Body json.RawMessage `json:"body"`
}

// ResultError is the failure of an item.
type ResultError struct {
	// Code is the symbolic name of the result code.
	Code string `json:"code"`
	// Number is the numbered result code.
	Number int `json:"number"`
	// Message describes the failure.
	Message string `json:"message"`
}

// scanLines calls each with the number, starting at 1, and content of every
// line that is not blank.
func scanLines(r io.Reader, each func(number int, line []byte) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	number := 0
	for scanner.Scan() {
		number++
		line := bytes.TrimSpace(scanner.Bytes())
		if len(line) == 0 {
			continue
		}
		if err := each(number, line); err != nil {
			return err
		}
	}
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		return result.Errorf(result.BadBatchLine, "line %d is longer than %d bytes", number+1, maxLine)
	}
	return scanner.Err()
}

// parseItem parses and checks one line.
func parseItem(number int, line []byte, endpoint string) (Item, error) {
	var item Item
	if err := json.Unmarshal(line, &item); err != nil {
		return item, result.Errorf(result.BadBatchLine, "line %d: %v", number, err)
	}
	switch {
	case item.CustomID == "":
		return item, result.Errorf(result.BadBatchLine, "line %d: custom_id is missing", number)
	case item.Method != "POST":
		return item, result.Errorf(result.BadBatchLine, "line %d: method %q is not POST", number, item.Method)
	case item.URL != endpoint:
		return item, result.Errorf(result.BadBatchLine, "line %d: url %q is not the job's endpoint %q", number, item.URL, endpoint)
	case item.Model() == "":
		return item, result.Errorf(result.BadBatchLine, "line %d: the body names no model", number)
	}
	return item, nil
}

// CheckEndpoint refuses an endpoint that batch items may not call.
func CheckEndpoint(endpoint string) error {
	if !slices.Contains(endpoints, endpoint) {
		return result.Errorf(result.BadRequest, "endpoint %q does not accept batches", endpoint)
	}
	return nil
}
