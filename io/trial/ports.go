package trial

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Listening ports are below the system's range of ephemeral ports: an outgoing
// connection could otherwise take the port of a daemon while it restarts.
const (
	firstPort     = 12_000
	lastPort      = 32_000
	portsPerBlock = 1_000
)

// portBlock is a part of the range of ports. A listener on its first port keeps it from
// other processes, which could otherwise draw the port of a daemon that is stopped at
// the moment, or that this process has yet to start.
type portBlock struct {
	first int
	guard net.Listener
}

// processBlock returns the block of this process, which ends with the process.
var processBlock = sync.OnceValues(claimBlock)

// claimBlock claims a block that no other process has.
func claimBlock() (*portBlock, error) {
	for _, i := range rand.Perm((lastPort - firstPort) / portsPerBlock) {
		first := firstPort + i*portsPerBlock
		if guard, err := net.Listen("tcp", loopback(first)); err == nil {
			return &portBlock{first: first, guard: guard}, nil
		}
	}
	return nil, errors.New("no free block of ports on loopback")
}

// freeAddresses returns n loopback addresses whose ports are not in use.
func (b *portBlock) freeAddresses(n int) (addresses []string, err error) {
	for _, i := range rand.Perm(portsPerBlock - 1) {
		if len(addresses) == n {
			break
		}
		if address := loopback(b.first + 1 + i); isFree(address) {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) < n {
		return nil, errors.New("not enough free ports on loopback")
	}
	return addresses, nil
}

func loopback(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}

func isFree(address string) bool {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return ln.Close() == nil
}
