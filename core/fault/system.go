package fault

import (
	"errors"
	"syscall"
)

// TooManyFiles reports whether err says that this process, or its VM, has too many open
// files. It passes when some are closed, and tells nothing of what was to be opened.
func TooManyFiles(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
