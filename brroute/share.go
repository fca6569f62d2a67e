package brroute

import "slices"

// ShareGroup splits the grants of its requests over versions.
type ShareGroup struct {
	ID     string
	Rest   string // version that gets the rest; empty for any that no group names
	Shares []VersionShare
}

// VersionShare is a version's part of the grants of a group. What the shares
// leave of 1,000 goes to the rest.
type VersionShare struct {
	Version  string
	PerMille int
	Excluded []string // routes that get nothing of Version and don't count
}

type group struct {
	rest   string
	shares []share
}

type share struct {
	VersionShare
	credit  int      // per mille of a grant that the version is owed
	stopped []string // routes stopped by Stop; "" stops all
}

// SetShares replaces the groups. A version that stays in its group keeps its
// counter and what Stop stopped. A version whose share in some group is below
// 1,000 gets no requests without a group. SetShares panics if a share is out of
// range or the shares of a group exceed 1,000.
func (t *Table) SetShares(groups []ShareGroup) {
	old := t.groups
	t.groups, t.reserved = make(map[string]*group, len(groups)), map[string]bool{}
	for _, sg := range groups {
		g, sum := &group{rest: sg.Rest}, 0
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

// Stop sets a version's share in a group to zero on one route, or on all when
// route is empty, until the group is gone. An unknown group or version is
// ignored.
func (t *Table) Stop(groupID, version, route string) {
	if s := t.groups[groupID].find(version); s != nil && !slices.Contains(s.stopped, route) {
		s.stopped = append(s.stopped, route)
	}
}

// commitShare counts a grant of r to the version at index chosen. A version that
// is owed a grant but had no endpoint for it stays owed one, never more, so a
// version that returns doesn't get a burst.
func (t *Table) commitShare(r Request, chosen int) {
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
		if i == chosen {
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

// takesRest reports whether a version gets the rest of g.
func (t *Table) takesRest(g *group, version string) bool {
	if g.rest != "" {
		return version == g.rest
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
