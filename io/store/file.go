package store

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// File is an open file of the data folder.
type File interface {
	io.Writer
	Truncate(size int64) error
	Sync() error
	Close() error
}

// WrapFunc wraps each file that is opened for writing; tests simulate full disks with
// it. Nil wraps nothing.
type WrapFunc func(f *os.File) File

func (w WrapFunc) open(path string, flags int) (File, error) {
	f, err := os.OpenFile(path, flags, fileMode)
	if err != nil {
		return nil, err
	}
	if w == nil {
		return f, nil
	}
	return w(f), nil
}

// isNoSpace reports whether a write failed only because the disk or the quota is used
// up. Nothing that was written before is in doubt then.
func isNoSpace(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT)
}

// writeSynced replaces a file so that after a crash it holds either the old or the new
// content. The file that was begun is removed on failure, so that it takes no space.
func (w WrapFunc) writeSynced(path string, data []byte) error {
	next := path + ".next"
	f, err := w.open(next, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		_ = os.Remove(next) // it is overwritten at the next attempt
		return err
	}
	return os.Rename(next, path)
}

func syncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Usage is the space that a data folder takes and that its disk has left, in bytes.
type Usage struct {
	Used, Free uint64
}

// FolderUsage returns the usage of a data folder.
func FolderUsage(dir string) (u Usage, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return u, err
	}
	for _, e := range entries {
		info, err := os.Stat(filepath.Join(dir, e.Name()))
		if err == nil {
			u.Used += uint64(info.Size())
		}
	}
	var fs unix.Statfs_t
	if err := unix.Statfs(dir, &fs); err != nil {
		return u, err
	}
	u.Free = fs.Bavail * uint64(fs.Bsize)
	return u, nil
}
