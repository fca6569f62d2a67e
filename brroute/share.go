package brroute

import "slices"

// ShareGroup splits the grants of a group of requests among versions.
type ShareGroup struct {
	ID             string
	DefaultVersion string // version that gets the remainder; empty for any version not named by a group
	Shares         []VersionShare
}

// VersionShare is a version's share of the grants of a group. The remainder is
// the difference between 1,000 and the sum of the group's shares.
type VersionShare struct {
	Version  string
	PerMille int
	Excluded []string // routes that get no requests of Version and don't count towards its share
}

type group struct {
	defaultVersion string
	shares         []share
}

type share struct {
	VersionShare
	credit  int      // in thousandths of a grant
	stopped []string // routes stopped by Stop; "" for all routes
}

// SetShares replaces the groups. A version that stays in its group keeps its
// credit and its stopped routes. A version whose share in some group is below
// 1,000 gets no requests without a group. SetShares panics if a share is negative
// or the shares of a group exceed 1,000.
func (t *Table) SetShares(groups []ShareGroup) {
	old := t.groups
	t.groups, t.reserved = make(map[string]*group, len(groups)), map[string]bool{}
	for _, sg := range groups {
		g, sum := &group{defaultVersion: sg.DefaultVersion}, 0
		for _, vs := range sg.Shares {
			sum += vs.PerMille
			if vs.PerMille < 0 || sum > 1000 {
				panic("brroute: share out of range")
			}
			s := share{VersionShare: vs}
			if o := old[sg.ID].find(vs.Version); o != nil {
				s.credit, s.stopped = o.credit, o.stopped
			}
			g.shares = append(g.shares, s)
			if vs.PerMille < 1000 {
				t.reserved[vs.Version] = true
			}
		}
		t.groups[sg.ID] = g
	}
}

// Stop sets a version's share in a group to zero on one route, or on all routes
// if route is empty, until the group is removed. An unknown group or version is
// ignored.
func (t *Table) Stop(groupID, version, route string) {
	if s := t.groups[groupID].find(version); s != nil && !slices.Contains(s.stopped, route) {
		s.stopped = append(s.stopped, route)
	}
}

// recordShareGrant updates the credits of r's group after a grant to the version
// at index shareIndex. The credit of a version that has no available endpoint is
// limited to one grant, so that the version gets no burst when it returns.
func (t *Table) recordShareGrant(r Request, shareIndex int) {
	g := t.groups[r.Group]
	if g == nil {
		return
	}
	for i := range g.shares {
		s := &g.shares[i]
		perMille := s.perMille(r.Route)
		if perMille == 0 {
			continue
		}
		s.credit += perMille
		if i == shareIndex {
			s.credit -= 1000
		}
		s.credit = min(s.credit, 1000)
	}
}

func (s *share) perMille(route string) int {
	if slices.Contains(s.Excluded, route) || slices.Contains(s.stopped, route) || slices.Contains(s.stopped, "") {
		return 0
	}
	return s.PerMille
}

// getsRemainder reports whether version gets the remainder of g.
func (t *Table) getsRemainder(g *group, version string) bool {
	if g.defaultVersion != "" {
		return version == g.defaultVersion
	}
	return g.find(version) == nil && !t.reserved[version]
}

func (g *group) find(version string) *share {
	if g == nil {
		return nil
	}
	for i := range g.shares {
		if g.shares[i].Version == version {
			return &g.shares[i]
		}
	}
	return nil
}
