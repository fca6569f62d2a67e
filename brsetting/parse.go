package brsetting

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"bramleyroute/brwire"
)

var namePattern = regexp.MustCompile(`^[a-z0-9._-]{1,64}$`)

// Limits of the length of a key, in bytes.
const (
	minKeyLen = 16
	maxKeyLen = 256
)

var errRequired = errors.New("is required")

// Functions named after a type with the suffix Parser return a function that parses
// and checks a value and stores it in the field of the settings that field selects.
// They are used as Setting.parse.

func nameParser(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if v == "" {
			return errRequired
		}
		if !namePattern.MatchString(v) {
			return fmt.Errorf("%q is not a name of up to 64 lower case letters, digits, '-', '_' and '.'", v)
		}
		*field(s) = v
		return nil
	}
}

func textParser(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		*field(s) = v
		return nil
	}
}

// optional returns a function that accepts an empty value and passes other values to
// parse.
func optional(parse func(*Settings, string) error) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if v == "" {
			return nil
		}
		return parse(s, v)
	}
}

func addressParser(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		a, err := parseAddress(v)
		if err != nil {
			return err
		}
		*field(s) = a.String()
		return nil
	}
}

func parseAddress(v string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return a, fmt.Errorf("%q is not an IP address and a port", v)
	}
	return a, nil
}

func intParser(low, high int, field func(*Settings) *int) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		n, err := strconv.Atoi(v)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", v)
		}
		if n < low || n > high {
			return fmt.Errorf("%d is not from %d to %d", n, low, high)
		}
		*field(s) = n
		return nil
	}
}

func durationParser(low, high time.Duration, field func(*Settings) *time.Duration) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		d, err := time.ParseDuration(v)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 250ms or 3s", v)
		}
		if d < low || d > high {
			return fmt.Errorf("%v is not from %v to %v", d, low, high)
		}
		*field(s) = d
		return nil
	}
}

func bytesParser(low, high int64, field func(*Settings) *int64) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		n, err := parseBytes(v)
		if err != nil {
			return err
		}
		if n < low || n > high {
			return fmt.Errorf("%d bytes is not from %d to %d", n, low, high)
		}
		*field(s) = n
		return nil
	}
}

// parseBytes parses a whole number of bytes with an optional unit KiB, MiB or GiB.
func parseBytes(v string) (int64, error) {
	digits, unit := v, int64(1)
	for suffix, size := range map[string]int64{"KiB": kib, "MiB": mib, "GiB": gib} {
		if d, ok := strings.CutSuffix(v, suffix); ok {
			digits, unit = d, size
		}
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || n < 0 || n > (1<<62)/unit {
		return 0, fmt.Errorf("%q is not a number of bytes such as 65536, 64KiB or 4MiB", v)
	}
	return n * unit, nil
}

func keysParser(low, high int, field func(*Settings) *[]string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		list := splitList(v)
		if len(list) < low || len(list) > high {
			return fmt.Errorf("has %d keys, not %d to %d", len(list), low, high)
		}
		for i, k := range list {
			// The messages omit the key because it is secret.
			if len(k) < minKeyLen || len(k) > maxKeyLen {
				return fmt.Errorf("key %d has %d characters, not %d to %d", i+1, len(k), minKeyLen, maxKeyLen)
			}
			if slices.Contains(list[:i], k) {
				return fmt.Errorf("key %d is repeated", i+1)
			}
		}
		*field(s) = list
		return nil
	}
}

func parseRoles(s *Settings, v string) error {
	var roles []brwire.Role
	for _, r := range splitList(v) {
		role := brwire.Role(r)
		switch role {
		case brwire.RoleEntry, brwire.RoleScheduler, brwire.RoleControl:
		default:
			return fmt.Errorf("%q is not entry, scheduler or control", r)
		}
		if slices.Contains(roles, role) {
			return fmt.Errorf("%q is repeated", r)
		}
		roles = append(roles, role)
	}
	if len(roles) == 0 {
		return errRequired
	}
	s.Roles = roles
	return nil
}

func parseControlPeers(s *Settings, v string) error {
	var peers []ControlPeer
	for _, p := range splitList(v) {
		id, address, ok := strings.Cut(p, "=")
		if !ok || id == "" {
			return fmt.Errorf("%q is not daemon_id=ip:port", p)
		}
		a, err := parseAddress(address)
		if err != nil {
			return err
		}
		if slices.ContainsFunc(peers, func(o ControlPeer) bool { return o.DaemonID == id || o.Address == a.String() }) {
			return fmt.Errorf("%q repeats a daemon ID or an address", p)
		}
		peers = append(peers, ControlPeer{DaemonID: id, Address: a.String()})
	}
	if len(peers) == 0 {
		return errRequired
	}
	s.ControlPeers = peers
	return nil
}

func parseLogLevel(s *Settings, v string) error {
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, v) {
		return fmt.Errorf("%q is not debug, info, warn or error", v)
	}
	s.LogLevel = v
	return nil
}

// splitList returns the elements of a comma-separated list with surrounding white
// space removed. Empty elements are dropped.
func splitList(v string) []string {
	var parts []string
	for p := range strings.SplitSeq(v, ",") {
		if p = strings.TrimSpace(p); p != "" {
			parts = append(parts, p)
		}
	}
	return parts
}
