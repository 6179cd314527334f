package callerapi

import (
	"fmt"
	"strconv"
	"time"
)

// MaxDeadline is the longest deadline that a caller may set.
const MaxDeadline = 24 * time.Hour

// ParseDeadline parses a value of HeaderDeadline. It returns zero for an empty
// value, which means that the caller set no deadline.
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
