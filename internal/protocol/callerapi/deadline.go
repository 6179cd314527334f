package callerapi

import (
	"fmt"
	"strconv"
	"time"
)

// MaxDeadline bounds the time that a caller may give a request.
const MaxDeadline = 24 * time.Hour

// ParseDeadline reads a HeaderDeadline value. An empty value means none given
// and yields zero.
func ParseDeadline(value string) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(value)
	if ms, intErr := strconv.ParseInt(value, 10, 32); intErr == nil {
		d, err = time.Duration(ms)*time.Millisecond, nil
	}
	if err != nil {
		return 0, fmt.Errorf("deadline %q is neither a duration such as 1.5s nor whole milliseconds", value)
	}
	if d <= 0 || d > MaxDeadline {
		return 0, fmt.Errorf("deadline %q is outside 1ms to %s", value, MaxDeadline)
	}
	return d, nil
}
