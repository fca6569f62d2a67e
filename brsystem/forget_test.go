package brsystem

import (
	"testing"

	"bramleyroute/brctl"
)

// Guards against a cluster that no longer accepts changes after the
// permanent loss of most of its registered daemons. Four of five daemons
// without the control role are killed, so that no change is accepted until an
// operator removes them with the command forget.
func TestMajorityOfDaemonsLost(t *testing.T) {
	t.Parallel()
	c := newCluster(t, spec{daemons: 6, controls: 1, controlOnly: true})
	before := c.mustPut(c.daemons[1], marked(marker(0)))
	lost := c.daemons[2:]
	for _, d := range lost {
		d.kill()
	}
	remaining := c.daemons[:2]
	c.eventually("no change is accepted", func() bool {
		_, err := put(remaining[1], "", marked(marker(1)))
		return err != nil
	})
	for _, d := range lost {
		c.eventually("forget "+d.id, func() bool {
			_, _, code := c.ctl(remaining, "forget", d.id)
			return code == brctl.ExitOK
		})
	}
	if after := c.mustPut(remaining[1], marked(marker(2))); after <= before {
		t.Errorf("revision %d after the removal, want a higher one than %d", after, before)
	}
}
