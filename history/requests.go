package history

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// arrivalsByToken returns the number of arrivals for each token.
func arrivalsByToken(arrivals []Arrival) map[string]int {
	counts := make(map[string]int, len(arrivals))
	for i := range arrivals {
		counts[arrivals[i].Token]++
	}
	return counts
}

// CheckAtMostOnce returns an error if a non-idempotent call reached upstreams more
// than once.
func CheckAtMostOnce(calls []Call, arrivals []Arrival) error {
	counts := arrivalsByToken(arrivals)
	var errs []error
	for _, c := range calls {
		if n := counts[c.Token]; c.NonIdempotent && n > 1 {
			errs = append(errs, fmt.Errorf("non-idempotent request %q arrived %d times at upstreams", c.Token, n))
		}
	}
	return errors.Join(errs...)
}

// CheckNotRun returns an error if a request was rejected as not run although it
// reached an upstream.
func CheckNotRun(calls []Call, arrivals []Arrival) error {
	counts := arrivalsByToken(arrivals)
	var errs []error
	for _, c := range calls {
		if n := counts[c.Token]; c.Outcome == NotRun && n > 0 {
			errs = append(errs, fmt.Errorf("request %q was rejected as not run but arrived %d times at upstreams", c.Token, n))
		}
	}
	return errors.Join(errs...)
}

// CheckAnsweredRan returns an error if a request was answered that reached no
// upstream.
func CheckAnsweredRan(calls []Call, arrivals []Arrival) error {
	counts := arrivalsByToken(arrivals)
	var errs []error
	for _, c := range calls {
		if c.Outcome == Answered && counts[c.Token] == 0 {
			errs = append(errs, fmt.Errorf("request %q was answered but reached no upstream", c.Token))
		}
	}
	return errors.Join(errs...)
}

// CheckAnswersMatch returns an error if a complete answer differs from the one that
// want returns for its call.
func CheckAnswersMatch(calls []Call, want func(Call) string) error {
	var errs []error
	for _, c := range calls {
		if c.Outcome != Answered {
			continue
		}
		if expected := want(c); c.Answer != expected {
			errs = append(errs, fmt.Errorf("request %q was answered with %q, want %q", c.Token, c.Answer, expected))
		}
	}
	return errors.Join(errs...)
}

// CheckNoCredential returns an error if a request reached an upstream with a
// credential in its headers or with one of the given keys in its content.
func CheckNoCredential(arrivals []Arrival, keys []string) error {
	var errs []error
	for _, a := range arrivals {
		if a.HasCredential {
			errs = append(errs, fmt.Errorf("a request at %s carried a credential", a.Upstream))
		}
		for _, key := range keys {
			if strings.Contains(a.Token, key) {
				errs = append(errs, fmt.Errorf("the content of a request at %s contained a key", a.Upstream))
			}
		}
	}
	return errors.Join(errs...)
}

// CheckNoWorkAfter returns an error if an arrival for which selected returns true came
// more than bound after the time event, which is, for example, that of the
// withdrawal of a key or the cancellation of a job.
func CheckNoWorkAfter(arrivals []Arrival, event time.Time, bound time.Duration, selected func(Arrival) bool) error {
	count := 0
	var latest Arrival
	for _, a := range arrivals {
		if !selected(a) || !a.At.After(event.Add(bound)) {
			continue
		}
		count++
		if a.At.After(latest.At) {
			latest = a
		}
	}
	if count == 0 {
		return nil
	}
	return fmt.Errorf("%d requests arrived more than %v after the event; the last one, %q, arrived at %s %v after the event",
		count, bound, latest.Token, latest.Upstream, latest.At.Sub(event))
}

// CheckRejected returns an error if a call for which selected returns true had an
// outcome other than NotRun.
func CheckRejected(calls []Call, selected func(Call) bool) error {
	var errs []error
	for _, c := range calls {
		if selected(c) && c.Outcome != NotRun {
			errs = append(errs, fmt.Errorf("request %q ended as %s, want not run", c.Token, c.Outcome))
		}
	}
	return errors.Join(errs...)
}

// CheckNotInterrupted returns an error if a request reached an upstream and its caller
// received no complete answer.
func CheckNotInterrupted(calls []Call, arrivals []Arrival) error {
	counts := arrivalsByToken(arrivals)
	var errs []error
	for _, c := range calls {
		if c.Outcome != Answered && counts[c.Token] > 0 {
			errs = append(errs, fmt.Errorf("request %q reached an upstream but ended as %s: %s", c.Token, c.Outcome, c.Answer))
		}
	}
	return errors.Join(errs...)
}
