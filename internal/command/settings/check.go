package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// MaxReplicas is the maximum number of initial members of the replicated log.
const MaxReplicas = 8

// MaxDuration is the maximum value of every duration setting.
const MaxDuration = time.Hour

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

func checkName(value string) error {
	if !namePattern.MatchString(value) {
		return errors.New("want 1 to 63 letters, digits, dots, dashes or underscores")
	}
	return nil
}

func setNode(s *Settings, value string) error {
	s.Node = ident.NodeID(value)
	return checkName(value)
}

func setZone(s *Settings, value string) error {
	s.Zone = ident.Zone(value)
	return checkName(value)
}

// checkAddress accepts an IP address with a port from 1 to 65535.
func checkAddress(value string) error {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		return errors.New("want an IP address and a port, such as 10.0.0.7:8080")
	}
	return nil
}

func setAddress(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		*field(s) = value
		return checkAddress(value)
	}
}

func setOptionalAddress(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		if value == "" {
			return nil
		}
		*field(s) = value
		if err := checkAddress(value); err != nil {
			return err
		}
		if netip.MustParseAddrPort(value).Addr().IsUnspecified() {
			return errors.New("others cannot connect to an unspecified address")
		}
		return nil
	}
}

func setDataDir(s *Settings, value string) error {
	s.DataDir = value
	return nil
}

func setReplicas(s *Settings, value string) error {
	for _, part := range splitList(value) {
		id, address, found := strings.Cut(part, "=")
		if !found {
			return fmt.Errorf("%q is not id=IP:port", part)
		}
		if err := checkName(id); err != nil {
			return fmt.Errorf("id %q: %w", id, err)
		}
		if err := checkAddress(address); err != nil {
			return fmt.Errorf("%q: %w", part, err)
		}
		for _, r := range s.Replicas {
			if r.ID == ident.NodeID(id) || r.Address == address {
				return fmt.Errorf("%q repeats an id or an address", part)
			}
		}
		s.Replicas = append(s.Replicas, Replica{ID: ident.NodeID(id), Address: address})
	}
	if n := len(s.Replicas); n == 0 || n > MaxReplicas {
		return fmt.Errorf("want 1 to %d replicas, such as a=10.0.0.7:8081,b=10.0.1.7:8081,c=10.0.2.7:8081", MaxReplicas)
	}
	return nil
}

func splitList(value string) []string {
	var parts []string
	for part := range strings.SplitSeq(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

func setTokenFile(s *Settings, value string) error {
	s.OperatorTokenFile = value
	_, err := ReadToken(value)
	return err
}

func setPlatformURL(s *Settings, value string) error {
	s.PlatformURL = value
	if value == "" {
		return nil
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return errors.New("want a URL such as http://10.0.0.1:9000")
	}
	return nil
}

func setDuration(field func(*Settings) *time.Duration) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		d, err := time.ParseDuration(value)
		if err != nil || d <= 0 || d > MaxDuration {
			return fmt.Errorf("want a duration such as 5s or 300ms, above zero and up to %s", MaxDuration)
		}
		*field(s) = d
		return nil
	}
}

func setCount(field func(*Settings) *int) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		n, err := strconv.Atoi(value)
		if err != nil || n < 1 {
			return errors.New("want a whole number, 1 or more")
		}
		*field(s) = n
		return nil
	}
}

// byteUnits lists the suffixes of sizes. The empty suffix fits every value, so
// it comes last.
var byteUnits = []struct {
	suffix string
	factor int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"", 1}}

// maxBytes is the maximum value of every size setting: 64 GiB.
const maxBytes = 64 << 30

func setBytes(field func(*Settings) *int64) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		for _, unit := range byteUnits {
			digits, found := strings.CutSuffix(value, unit.suffix)
			if !found {
				continue
			}
			n, err := strconv.ParseInt(digits, 10, 64)
			if err != nil || n < 1 || n > maxBytes/unit.factor {
				break
			}
			*field(s) = n * unit.factor
			return nil
		}
		return errors.New("want a size such as 16MiB or 65536, from 1 byte to 64GiB")
	}
}
