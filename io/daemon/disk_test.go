package daemon

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"

	"chicorymast/core/ident"
	"chicorymast/core/state"
	"chicorymast/io/admin"
	"chicorymast/io/store"
	"chicorymast/io/trial"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// disk is the disk of one VM; while it is full it refuses every write.
type disk struct{ full atomic.Bool }

type diskFile struct {
	store.File
	disk *disk
}

func (d *disk) open(path string, flags int) (store.File, error) {
	f, err := store.OpenFile(path, flags)
	return diskFile{f, d}, err
}

func (f diskFile) Write(p []byte) (int, error) {
	if f.disk.full.Load() {
		return 0, unix.ENOSPC
	}
	return f.File.Write(p)
}

func (f *fleet) fill(full bool, vms ...ident.VM) {
	for _, vm := range vms {
		f.disks[vm].full.Store(full)
	}
}

// acceptKey grants a key, repeating the request until its outcome is known.
func (f *fleet) acceptKey(digest ident.KeyDigest) {
	f.t.Helper()
	req := admin.KeyGrant{ChangeID: f.changeID(), Digest: digest, Workspace: "mlyn"}
	eventually(f.t, func() string {
		r, p, err := callAdmin[state.Result](f, anyControl, "POST", "/v1/keys", req)
		if err != nil || r.Outcome != state.OutcomeAccepted {
			return fmt.Sprintf("not accepted: %q %q %v", r.Outcome, p.Detail, err)
		}
		return ""
	})
}

// gaugeValue returns the value of a gauge without labels.
func gaugeValue(t testing.TB, d *Daemon, name string) float64 {
	t.Helper()
	families, err := d.reg.Gather()
	assert.NilError(t, err)
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetGauge().GetValue()
		}
	}
	t.Fatalf("no gauge %s", name)
	return 0
}

// A control daemon whose disk was full must take part again without a restart: one
// after another, the disks of all of them fill up.
func TestFullDisksOneAfterAnother(t *testing.T) {
	layout := trial.Small()
	layout.Services, layout.Routes = nil, nil
	f := newFleet(t, layout)
	f.waitReady()
	f.confirm("[data_centre " + string(f.files.Daemons[0].DataCentre) + "]\n[workspace mlyn]\n")
	var controls []ident.VM
	for _, d := range f.files.Daemons {
		if d.Control {
			controls = append(controls, d.VM)
		}
	}
	mustBeWritable := func(vm ident.VM, want float64) {
		t.Helper()
		eventually(t, func() string {
			if got := gaugeValue(t, f.daemons[vm].daemon, "chicorymast_data_folder_writable"); got != want {
				return fmt.Sprintf("%s shows %v", vm, got)
			}
			return ""
		})
	}
	var granted []ident.KeyDigest
	for round, vm := range slices.Concat(controls, controls) {
		f.fill(true, vm)
		digest := ident.DigestKey(fmt.Sprint("key of round ", round))
		f.acceptKey(digest)
		granted = append(granted, digest)
		mustBeWritable(vm, 0)
		f.fill(false, vm)
		mustBeWritable(vm, 1)
	}
	f.waitInForce()
	t.Run("all at once", func(t *testing.T) {
		f.fill(true, controls...)
		digest := ident.DigestKey("key while all disks are full")
		req := admin.KeyGrant{ChangeID: f.changeID(), Digest: digest, Workspace: "mlyn"}
		r, _, err := callAdmin[state.Result](f, anyControl, "POST", "/v1/keys", req)
		assert.Assert(t, err != nil || r.Outcome != state.OutcomeAccepted, "acknowledged without a disk")
		f.fill(false, controls...)
		f.acceptKey(digest)
		granted = append(granted, digest)
		f.waitInForce()
	})
	for vm, r := range f.daemons {
		st := r.daemon.board.Config.Read().State
		for _, digest := range granted {
			_, known := st.Keys[digest]
			assert.Assert(t, known, "%s has lost an accepted key", vm)
		}
	}
}
