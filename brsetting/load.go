package brsetting

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"bramleyroute/brwire"
	"github.com/alecthomas/kingpin/v2"
)

// Problem is one invalid setting.
type Problem struct {
	Name    string // name of the setting
	Message string
}

// Problems lists all invalid settings. It is the error type of Load,
// FromEnvironment and Flags.Settings.
type Problems []Problem

// Error returns all problems on one line, separated by semicolons.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, o := range p {
		lines[i] = o.Name + ": " + o.Message
	}
	return "settings: " + strings.Join(lines, "; ")
}

func (p *Problems) add(name, message string) { *p = append(*p, Problem{name, message}) }

// Load parses and checks the value that lookup returns for the name of each
// setting. An empty value selects the default. The error is nil or a Problems with
// all problems.
func Load(lookup func(name string) string) (Settings, error) {
	var s Settings
	var problems Problems
	for _, row := range Table() {
		v := lookup(row.Name)
		if v == "" {
			v = row.Default
		}
		if err := row.parse(&s, v); err != nil {
			problems.add(row.Name, err.Error())
		}
	}
	s.checkCombined(&problems)
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return s, nil
}

// FromEnvironment is like Load for environment variables; values maps their full
// names to their values. A variable that begins with EnvironmentPrefix but is not a
// setting is a problem. Other variables are ignored.
func FromEnvironment(values map[string]string) (Settings, error) {
	known := map[string]string{}
	for _, row := range Table() {
		known[row.EnvVar()] = row.Name
	}
	var unknown Problems
	byName := map[string]string{}
	for k, v := range values {
		if n, ok := known[k]; ok {
			byName[n] = v
		} else if strings.HasPrefix(k, EnvironmentPrefix) {
			unknown.add(k, "is not a setting")
		}
	}
	slices.SortFunc(unknown, func(a, b Problem) int { return strings.Compare(a.Name, b.Name) })
	s, err := Load(func(name string) string { return byName[name] })
	if rest, ok := err.(Problems); ok || len(unknown) > 0 {
		return Settings{}, append(unknown, rest...)
	}
	return s, nil
}

// Flags holds the values of the flags that Register added.
type Flags struct {
	texts map[string]*flagText
}

// Register adds a flag for every setting to app, each with its environment
// variable. A flag takes precedence over its environment variable, and both over
// the default. Flags.Settings checks the values; parsing the flags does not.
func Register(app *kingpin.Application) *Flags {
	f := &Flags{texts: map[string]*flagText{}}
	for _, row := range Table() {
		t := &flagText{}
		f.texts[row.Name] = t
		help := row.Description
		if row.Default != "" {
			help += fmt.Sprintf(" Default: %s.", row.Default)
		}
		app.Flag(row.Flag(), help).Envar(row.EnvVar()).PlaceHolder(strings.ToUpper(row.Unit)).SetValue(t)
	}
	return f
}

// Settings returns the settings of the parsed flags. The error is that of Load.
func (f *Flags) Settings() (Settings, error) {
	return Load(func(name string) string { return f.texts[name].text })
}

// flagText is a kingpin.Value that accepts any text.
type flagText struct {
	text string
}

// Set stores v. It never returns an error.
func (t *flagText) Set(v string) error { t.text = v; return nil }

// String returns the text.
func (t *flagText) String() string { return t.text }

// checkCombined checks conditions that involve several settings and sets the default
// of the advertised peer address. Settings with a problem are skipped.
func (s *Settings) checkCombined(p *Problems) {
	s.checkAddresses(p)
	s.checkControl(p)
	if s.EntryBufferBytes > 0 && s.EntryBufferBytes < s.MaxBodyBytes {
		p.add("entry_buffer_bytes", "is below max_body_bytes")
	}
	if s.StuckTimeout > 0 && s.StuckTimeout <= s.StallTimeout {
		p.add("stuck_timeout", "is not above stall_timeout")
	}
}

func (s *Settings) checkAddresses(p *Problems) {
	settingByAddress := map[string]string{}
	for _, l := range []struct{ name, address string }{
		{"caller_address", s.CallerAddress}, {"peer_address", s.PeerAddress}, {"operator_address", s.OperatorAddress},
	} {
		if other, ok := settingByAddress[l.address]; ok && l.address != "" && !strings.HasSuffix(l.address, ":0") {
			p.add(l.name, "is the same as "+other)
		}
		settingByAddress[l.address] = l.name
	}
	explicit := s.AdvertisedPeerAddress != ""
	if !explicit {
		s.AdvertisedPeerAddress = s.PeerAddress
	}
	a, err := netip.ParseAddrPort(s.AdvertisedPeerAddress)
	switch {
	case err != nil: // already reported for the setting that has the address
	case !a.Addr().IsUnspecified() && a.Port() != 0:
	case explicit:
		p.add("advertised_peer_address", "cannot be dialed")
	default:
		p.add("advertised_peer_address", "is required, because peer_address cannot be dialed")
	}
}

func (s *Settings) checkControl(p *Problems) {
	hasProblem := func(name string) bool {
		return slices.ContainsFunc(*p, func(o Problem) bool { return o.Name == name })
	}
	control := s.HasRole(brwire.RoleControl)
	if !control || hasProblem("roles") {
		return
	}
	listed := slices.ContainsFunc(s.ControlPeers, func(c ControlPeer) bool { return c.DaemonID == s.DaemonID })
	if !listed && !hasProblem("control_peers") && !hasProblem("daemon_id") {
		p.add("control_peers", "must name this daemon, which has the role control")
	}
	if s.DataDir == "" {
		p.add("data_dir", "is required with the role control")
	}
}
