package store

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"chicorymast/core/fault"

	"golang.org/x/sys/unix"
)

// File is an open file of the data folder.
type File interface {
	io.Writer
	Truncate(size int64) error
	Sync() error
	Close() error
}

// OpenFunc opens a file of the data folder for writing. Tests simulate a full disk, or
// too many open files, with it; nil stands for OpenFile.
type OpenFunc func(path string, flags int) (File, error)

// OpenFile opens a file of the operating system.
func OpenFile(path string, flags int) (File, error) {
	f, err := os.OpenFile(path, flags, fileMode)
	if err != nil {
		return nil, err
	}
	return f, nil
}

func (fs OpenFunc) open(path string, flags int) (File, error) {
	if fs == nil {
		return OpenFile(path, flags)
	}
	return fs(path, flags)
}

// isShortage reports whether a write failed only for lack of space, quota or open
// files. Nothing that was written before is in doubt then.
func isShortage(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) || fault.TooManyFiles(err)
}

// writeSynced replaces a file so that after a crash it holds either the old or the new
// content. The file that was begun is removed on failure, so that it takes no space.
func (fs OpenFunc) writeSynced(path string, data []byte) error {
	next := path + ".next"
	f, err := fs.open(next, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
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
