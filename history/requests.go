package history

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// arrivalsByToken counts the arrivals of each request.
func arrivalsByToken(arrivals []Arrival) map[string]int {
	counts := make(map[string]int, len(arrivals))
	for i := range arrivals {
		counts[arrivals[i].Token]++
	}
	return counts
}

// CheckAtMostOnce refuses a history in which a call that is not idempotent
// reached upstreams more than once.
func CheckAtMostOnce(calls []Call, arrivals []Arrival) error {
	counts := arrivalsByToken(arrivals)
	var errs []error
	for _, c := range calls {
		if n := counts[c.Token]; c.Once && n > 1 {
			errs = append(errs, fmt.Errorf("request %q arrived %d times at upstreams", c.Token, n))
		}
	}
	return errors.Join(errs...)
}

// CheckNotRun refuses a history in which a caller was told that a request was
// not executed although it reached an upstream.
func CheckNotRun(calls []Call, arrivals []Arrival) error {
	counts := arrivalsByToken(arrivals)
	var errs []error
	for _, c := range calls {
		if n := counts[c.Token]; c.Outcome == NotRun && n > 0 {
			errs = append(errs, fmt.Errorf("request %q was refused as not run but arrived %d times at upstreams", c.Token, n))
		}
	}
	return errors.Join(errs...)
}

// CheckAnswersRan refuses a history in which a request was answered that never
// reached an upstream.
func CheckAnswersRan(calls []Call, arrivals []Arrival) error {
	counts := arrivalsByToken(arrivals)
	var errs []error
	for _, c := range calls {
		if c.Outcome == Answered && counts[c.Token] == 0 {
			errs = append(errs, fmt.Errorf("request %q was answered but reached no upstream", c.Token))
		}
	}
	return errors.Join(errs...)
}

// CheckOwnAnswers refuses a history in which a whole answer differs from the
// one that want returns for its request.
func CheckOwnAnswers(calls []Call, want func(Call) string) error {
	var errs []error
	for _, c := range calls {
		if c.Outcome != Answered {
			continue
		}
		if expected := want(c); c.Answer != expected {
			errs = append(errs, fmt.Errorf("request %q was answered with %q, not %q", c.Token, c.Answer, expected))
		}
	}
	return errors.Join(errs...)
}

// CheckNoKey refuses a history in which a credential, or one of the given keys
// within the content, reached an upstream.
func CheckNoKey(arrivals []Arrival, keys []string) error {
	var errs []error
	for _, a := range arrivals {
		if a.Key {
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

// CheckNoWorkAfter refuses a history in which a selected arrival came more than
// bound after the event, for example a withdrawal, a planned stop or a
// cancellation.
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
	return fmt.Errorf("%d requests arrived after the bound of %v, the last, %q, at %s %v after the event",
		count, bound, latest.Token, latest.Upstream, latest.At.Sub(event))
}

// CheckRefused refuses a history in which a selected call had any outcome but
// NotRun.
func CheckRefused(calls []Call, selected func(Call) bool) error {
	var errs []error
	for _, c := range calls {
		if selected(c) && c.Outcome != NotRun {
			errs = append(errs, fmt.Errorf("request %q ended as %s, not as not run", c.Token, c.Outcome))
		}
	}
	return errors.Join(errs...)
}

// CheckNotCut refuses a history in which a request reached an upstream and its
// caller got no whole answer.
func CheckNotCut(calls []Call, arrivals []Arrival) error {
	counts := arrivalsByToken(arrivals)
	var errs []error
	for _, c := range calls {
		if c.Outcome != Answered && counts[c.Token] > 0 {
			errs = append(errs, fmt.Errorf("request %q reached an upstream and ended as %s: %s", c.Token, c.Outcome, c.Answer))
		}
	}
	return errors.Join(errs...)
}
