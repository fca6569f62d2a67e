package brfleet

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bramleyroute/brlog"
	"bramleyroute/brwal"
)

// diskBytes is the size of the disk of a daemon.
const diskBytes = 64 << 20

// testDisk is the disk of a daemon. While full is set, no file is created and a write
// ends halfway. Otherwise it takes diskBytes.
type testDisk struct {
	dir  string
	full atomic.Bool
}

// used returns the number of bytes of all files.
func (d *testDisk) used() (n int64) {
	paths, _ := filepath.Glob(filepath.Join(d.dir, "*"))
	for _, path := range paths {
		if info, err := os.Stat(path); err == nil { // nil unless the file was removed meanwhile
			n += info.Size()
		}
	}
	return n
}

func (d *testDisk) options() brwal.Options {
	return brwal.Options{
		Write: func(f *os.File, b []byte) (int, error) {
			if !d.full.Load() && d.used()+int64(len(b)) <= diskBytes {
				return f.Write(b)
			}
			n, err := f.Write(b[:len(b)/2])
			if err == nil {
				err = syscall.ENOSPC
			}
			return n, err
		},
		OpenFile: func(path string, flag int, mode os.FileMode) (*os.File, error) {
			if d.full.Load() && flag&(os.O_CREATE|os.O_TRUNC) != 0 {
				return nil, syscall.ENOSPC
			}
			return os.OpenFile(path, flag, mode)
		},
	}
}

// operator changes the policy each interval through one daemon after another.
type operator struct {
	version, acknowledged uint64
	longestGap            time.Duration // between two acknowledgements
}

func (o *operator) run(ctx context.Context, c *cluster, interval time.Duration) {
	last := time.Now()
	for ; ctx.Err() == nil; o.version++ {
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		if c.fleets[o.version%uint64(len(c.fleets))].PutPolicy(callCtx, testPolicy(c.t, o.version)) == nil {
			o.acknowledged = o.version
			o.longestGap = max(o.longestGap, time.Since(last))
			last = time.Now()
		}
		cancel()
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

// TestDisksFullInTurn guards against changes that are refused, changes that are lost and
// replicas that stay out of the group after the disks were full one after another: for
// less than an election, for longer, and for so long that the replica is removed.
func TestDisksFullInTurn(t *testing.T) {
	for _, replicas := range []int{3, 4, 6} {
		t.Run(fmt.Sprint(replicas), func(t *testing.T) {
			t.Parallel()
			testDisksFullInTurn(t, replicas)
		})
	}
}

func testDisksFullInTurn(t *testing.T, replicas int) {
	c := newCluster(t, replicas, replicas)
	c.put(0, 1)
	c.await("the group is complete", c.complete)
	o := operator{version: 2}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.run(ctx, c, 100*time.Millisecond)
	}()
	for i, d := range c.disks {
		d.full.Store(true)
		time.Sleep([]time.Duration{3 * time.Second, 200 * time.Millisecond, time.Second}[i%3])
		d.full.Store(false)
	}
	cancel()
	<-done
	t.Logf("%d changes, longest time without an acknowledgement %v", o.version, o.longestGap)
	c.await("the last acknowledged change is read", func() bool { return c.read(0) >= o.acknowledged })
	start := time.Now()
	c.put(0, o.version+1)
	t.Logf("a change was acknowledged %v after the last disk had room", time.Since(start))
	c.awaitInForce(o.version + 1)
	c.await("the group is complete again", c.complete)
	for i := range c.fleets {
		if got := c.read(i); got != o.version+1 {
			t.Errorf("daemon %d reads version %d, want %d", i, got, o.version+1)
		}
	}
}

// complete reports whether all daemons have a replica in the group, which has all entries and
// knows of no other replicas, and whether as many of them vote as the tolerance of one needs.
func (c *cluster) complete() bool {
	const maxVoters = 3
	members := map[brlog.ID]bool{}
	applied := map[uint64]bool{}
	for _, f := range c.fleets {
		st, ok := f.core.Status()
		if !ok || st.Membership.Voters() != min(maxVoters, len(c.fleets)) || len(st.Membership.Members) != len(c.fleets) || st.Leader == "" {
			return false
		}
		if _, ok := st.Membership.Find(st.ID); !ok {
			return false
		}
		members[st.ID], applied[st.Applied] = true, true
	}
	return len(members) == len(c.fleets) && len(applied) == 1
}

// TestRemovedReplicaFormsNoGroup guards against the replica of the first seed that was
// removed while its disk was full, and that forms a second group because the other
// daemons don't run when it starts again.
func TestRemovedReplicaFormsNoGroup(t *testing.T) {
	c := newCluster(t, 4, 4)
	c.put(0, 1)
	c.await("the group is complete", c.complete)
	o := operator{version: 2}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.run(ctx, c, 100*time.Millisecond)
	}()
	c.disks[0].full.Store(true)
	c.await("the replica is removed", func() bool {
		st, ok := c.fleets[1].core.Status()
		return ok && st.Membership.Voters() == 3 && st.Membership.IsRemoved("d0")
	})
	cancel()
	<-done
	c.disks[0].full.Store(false)
	c.await("its disk is emptied", func() bool {
		segments, err := filepath.Glob(filepath.Join(c.dirs[0], "segment-*"))
		return err == nil && len(segments) == 0
	})
	for i := range 3 {
		c.stop(i + 1)
	}
	time.Sleep(2 * time.Second) // the replica starts after 0.5 s and asks the others for 1 s at most
	for i := range 3 {
		c.start(i+1, false)
	}
	c.put(1, o.version+1)
	c.await("the group is complete again", c.complete)
	if got := c.read(0); got != o.version+1 {
		t.Errorf("daemon 0 reads version %d, want %d", got, o.version+1)
	}
}

// TestSmallDisks guards against replicas that can't start again after their disks were
// full, because they need more room than a small disk has besides a log of large
// documents.
func TestSmallDisks(t *testing.T) {
	const (
		documents     = 160
		documentBytes = 900 << 10
		nearlyFull    = diskBytes - 5<<20 // in bytes
	)
	c := newCluster(t, 3, 3)
	c.put(0, 1)
	c.await("the group is complete", c.complete)
	padding := bytes.Repeat([]byte{' '}, documentBytes) // at the end of a document
	version, most := uint64(1), int64(0)
	for most < nearlyFull && version < documents {
		version++
		c.putBody(0, version, append(testPolicy(t, version), padding...))
		for _, d := range c.disks {
			most = max(most, d.used())
		}
	}
	t.Logf("%d bytes of the disk are used at most", most)
	for _, d := range c.disks {
		d.full.Store(true)
		version++
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		c.fleets[0].PutPolicy(ctx, testPolicy(t, version)) // stops the replica
		cancel()
		time.Sleep(200 * time.Millisecond)
		d.full.Store(false)
	}
	c.put(0, version+1)
	c.await("the group is complete again", c.complete)
}
