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

const (
	minKey = 16 // characters
	maxKey = 256
)

var errRequired = errors.New("is required")

func name(field func(*Settings) *string) func(*Settings, string) error {
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

func text(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		*field(s) = v
		return nil
	}
}

func optional(set func(*Settings, string) error) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if v == "" {
			return nil
		}
		return set(s, v)
	}
}

func address(field func(*Settings) *string) func(*Settings, string) error {
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

func number(low, high int, field func(*Settings) *int) func(*Settings, string) error {
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

func duration(low, high time.Duration, field func(*Settings) *time.Duration) func(*Settings, string) error {
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

func bytes(low, high int64, field func(*Settings) *int64) func(*Settings, string) error {
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

// parseBytes reads a whole number with an optional KiB, MiB or GiB.
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

func keys(low, high int, field func(*Settings) *[]string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		list := split(v)
		if len(list) < low || len(list) > high {
			return fmt.Errorf("has %d keys, not %d to %d", len(list), low, high)
		}
		for i, k := range list {
			// The key itself stays out of the message.
			if len(k) < minKey || len(k) > maxKey {
				return fmt.Errorf("key %d has %d characters, not %d to %d", i+1, len(k), minKey, maxKey)
			}
			if slices.Contains(list[:i], k) {
				return fmt.Errorf("key %d is repeated", i+1)
			}
		}
		*field(s) = list
		return nil
	}
}

func setRoles(s *Settings, v string) error {
	var roles []brwire.Role
	for _, r := range split(v) {
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

func setControlPeers(s *Settings, v string) error {
	var peers []ControlPeer
	for _, p := range split(v) {
		id, at, ok := strings.Cut(p, "=")
		if !ok || id == "" {
			return fmt.Errorf("%q is not daemon_id=ip:port", p)
		}
		a, err := parseAddress(at)
		if err != nil {
			return err
		}
		if slices.ContainsFunc(peers, func(o ControlPeer) bool { return o.DaemonID == id || o.Address == a.String() }) {
			return fmt.Errorf("%q repeats a daemon id or an address", p)
		}
		peers = append(peers, ControlPeer{DaemonID: id, Address: a.String()})
	}
	if len(peers) == 0 {
		return errRequired
	}
	s.ControlPeers = peers
	return nil
}

func setLogLevel(s *Settings, v string) error {
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, v) {
		return fmt.Errorf("%q is not debug, info, warn or error", v)
	}
	s.LogLevel = v
	return nil
}

// split returns the parts of a comma-separated list without blanks around them
// and without empty parts.
func split(v string) []string {
	var parts []string
	for p := range strings.SplitSeq(v, ",") {
		if p = strings.TrimSpace(p); p != "" {
			parts = append(parts, p)
		}
	}
	return parts
}
