package brsystem

import (
	"testing"

	"bramleyroute/brctl"
)

// Guards against a register that can't change any more after the loss of the
// majority of its daemons: two of three daemons beside the control group are lost
// for good, so that nothing is accepted, until an operator vouches for them.
func TestMajorityOfDaemonsLost(t *testing.T) {
	t.Parallel()
	c := newCluster(t, spec{daemons: 6, controls: 1, controlOnly: true})
	before := c.mustPut(c.daemons[1], marked(marker(0)))
	lost := c.daemons[2:]
	for _, d := range lost {
		d.kill()
	}
	left := c.daemons[:2]
	c.eventually("no change is accepted", func() bool {
		_, err := put(left[1], "", marked(marker(1)))
		return err != nil
	})
	for _, d := range lost {
		c.eventually("forget "+d.id, func() bool {
			_, _, code := c.ctl(left, "forget", d.id)
			return code == brctl.ExitOK
		})
	}
	if after := c.mustPut(left[1], marked(marker(2))); after <= before {
		t.Errorf("revision %d after %d", after, before)
	}
}
