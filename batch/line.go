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

// maxLineBytes is the maximum length of a line of a batch file.
const maxLineBytes = 4 << 20

// Item is one line of a batch file.
type Item struct {
	// CustomID is the caller's name for the item. It is unique in its file.
	CustomID string `json:"custom_id"`
	// Method is always POST.
	Method string `json:"method"`
	// URL is the endpoint's path.
	URL string `json:"url"`
	// Body is the body of the request.
	Body json.RawMessage `json:"body"`
}

// Model returns the model that the item's body names, or "" if it names none.
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
	// CustomID is the caller's name for the item.
	CustomID string `json:"custom_id"`
	// Response is the response to the item, or nil in an error line.
	Response *ResultResponse `json:"response"`
	// Error is the reason why the item failed, or nil in a result line.
	Error *ResultError `json:"error"`
}

// ResultResponse is the response to an item.
type ResultResponse struct {
	// StatusCode is the HTTP status code.
	StatusCode int `json:"status_code"`
	// RequestID identifies the request at the upstream.
	RequestID string `json:"request_id"`
	// Body is the body of the response.
	Body json.RawMessage `json:"body"`
}

// ResultError is the reason why an item failed.
type ResultError struct {
	// Code is the name of the result code.
	Code string `json:"code"`
	// Number is the result code as a number.
	Number int `json:"number"`
	// Message describes the failure to a person.
	Message string `json:"message"`
}

// scanLines calls each for every line that is not blank, with the line's number, starting
// at 1, and its content without surrounding white space. The content is valid only during
// the call. An error of each ends the scan and is returned.
func scanLines(r io.Reader, each func(number int, line []byte) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
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
		return result.Errorf(result.BadBatchLine, "line %d is longer than %d bytes", number+1, maxLineBytes)
	}
	return scanner.Err()
}

// parseItem parses and validates one line. Its errors name the line number.
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

// CheckEndpoint returns an error with code result.BadRequest if batch items may not call
// the endpoint.
func CheckEndpoint(endpoint string) error {
	if !slices.Contains(allowedEndpoints, endpoint) {
		return result.Errorf(result.BadRequest, "endpoint %q does not accept batches", endpoint)
	}
	return nil
}
