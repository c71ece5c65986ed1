package harness

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"slateway.example/slateway/standin/link"
)

// addPeerLinks puts a link before each VM's peers address if Options ask for
// it.
func (f *Fleet) addPeerLinks() error {
	if !f.options.PeerLinks {
		return nil
	}
	for i, vm := range f.VMs {
		vm.Advertise = fmt.Sprintf("%s.%d:%d", f.network, firstPeerLink+i, peersPort)
		var err error
		if vm.streams, err = link.ListenFrom(vm.Advertise, vm.Peers, uint64(i), f.streamSource); err != nil {
			return err
		}
		f.closers = append(f.closers, vm.streams.Close)
		if vm.packets, err = link.ListenPackets(vm.Advertise, vm.Peers, f.packetSource); err != nil {
			return err
		}
		f.closers = append(f.closers, vm.packets.Close)
	}
	return nil
}

// Cut stalls what one VM sends to another's peers address, in questions and in
// answers, or passes it again. The other direction is not affected, and nobody
// is told: no connection closes.
func (f *Fleet) Cut(from, to *VM, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cut {
		f.cuts = append(f.cuts, [2]*VM{from, to})
	} else {
		f.cuts = slices.DeleteFunc(f.cuts, func(pair [2]*VM) bool { return pair == [2]*VM{from, to} })
	}
	to.packets.Cut(from.Name, cut)
	f.setStreams(from, to)
	f.setStreams(to, from)
}

// setStreams sets the condition of the streams that one VM opens to another.
// The caller holds f.mu.
func (f *Fleet) setStreams(opener, target *VM) {
	target.streams.SetFor(opener.Name, link.Condition{
		StallForward:  slices.Contains(f.cuts, [2]*VM{opener, target}),
		StallBackward: slices.Contains(f.cuts, [2]*VM{target, opener}),
	})
}

// Isolate cuts a VM off from all others in both directions, or heals it.
// Callers, operators and upstreams still reach it.
func (f *Fleet) Isolate(vm *VM, cut bool) {
	for _, other := range f.VMs {
		if other != vm {
			f.Cut(vm, other, cut)
			f.Cut(other, vm, cut)
		}
	}
}

// packetSource names the VM that sent a datagram: its socket is bound to the
// VM's own IP address.
func (f *Fleet) packetSource(address net.Addr) string {
	for _, vm := range f.VMs {
		if address.String() == vm.Peers {
			return vm.Name
		}
	}
	return ""
}

// streamSource names the VM that opened a connection. All connections come from
// 127.0.0.1 here, so the name is found by the process that owns the socket.
func (f *Fleet) streamSource(conn net.Conn) string {
	inode, err := inodeOf(conn.RemoteAddr().String(), conn.LocalAddr().String())
	if err != nil {
		return ""
	}
	f.mu.Lock()
	processes := make(map[int]string, len(f.processes))
	for pid, name := range f.processes {
		processes[pid] = name
	}
	f.mu.Unlock()
	wanted := "socket:[" + inode + "]"
	for pid, name := range processes {
		descriptors, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, descriptor := range descriptors {
			if target, err := os.Readlink(descriptor); err == nil && target == wanted {
				return name
			}
		}
	}
	return ""
}

// Columns of /proc/net/tcp.
const (
	columnLocal  = 1
	columnRemote = 2
	columnInode  = 9
)

// inodeOf finds the socket with a local and a remote address. The local one
// alone is not enough: connections to other addresses may share its port.
func inodeOf(local, remote string) (string, error) {
	wantedLocal, err := tableAddress(local)
	if err != nil {
		return "", err
	}
	wantedRemote, err := tableAddress(remote)
	if err != nil {
		return "", err
	}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > columnInode && fields[columnLocal] == wantedLocal && fields[columnRemote] == wantedRemote {
			return fields[columnInode], nil
		}
	}
	return "", fmt.Errorf("no socket connects %s to %s", local, remote)
}

// tableAddress writes an IP:port as /proc/net/tcp does.
func tableAddress(text string) (string, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return "", err
	}
	ip := address.Addr().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port()), nil
}
