package crowd

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// States of sockets in the kernel's table.
const (
	// stateConnecting is that of a socket whose connection has not been established. The kernel
	// takes no bytes for it yet. While it sets the connection up, the table shows the difference
	// of two sequence numbers of which one is not set, which is any number up to 4 GB.
	stateConnecting = "02"
	stateListening  = "0A"
)

// queuedAt returns the bytes in the queues of the sockets at an IP address, according to a table
// of the form of /proc/net/tcp.
func queuedAt(table, ip string) (int64, error) {
	local := hexAddress(ip) + ":"
	var sum int64
	for line := range strings.Lines(table) {
		f := strings.Fields(line)
		const localColumn, stateColumn, queueColumn = 1, 3, 4
		if len(f) <= queueColumn || !strings.HasPrefix(f[localColumn], local) {
			continue
		}
		if state := f[stateColumn]; state == stateListening || state == stateConnecting {
			continue
		}
		var unsent, unread int64
		if _, err := fmt.Sscanf(f[queueColumn], "%x:%x", &unsent, &unread); err != nil {
			return 0, err
		}
		sum += unsent + unread
	}
	return sum, nil
}

// hexAddress returns an IP address as the kernel's table has it.
func hexAddress(ip string) string {
	b := net.ParseIP(ip).To4()
	return fmt.Sprintf("%02X%02X%02X%02X", b[3], b[2], b[1], b[0])
}

// Guards against a count that is random, since it takes in what the kernel's table shows of a
// socket that is being connected, or too low, since it leaves out another state.
func TestQueuedBytesOfEachState(t *testing.T) {
	const ip = "127.9.9.10"
	line := func(address, state, queues string) string {
		return fmt.Sprintf("  12: %s:20A8 0900097F:1F90 %s %s 00:00000000 00000000     0        0 111 1 0 20 4 30 10 -1\n", hexAddress(address), state, queues)
	}
	for n := 1; n <= 0x0C; n++ {
		state := fmt.Sprintf("%02X", n)
		want := int64(0x10 + 0x200)
		if state == stateConnecting || state == stateListening {
			want = 0
		}
		got, err := queuedAt("  sl  local_address rem_address\n"+line(ip, state, "00000010:00000200")+line("127.9.9.11", state, "00000010:00000200"), ip)
		require.NoError(t, err)
		require.Equal(t, want, got, "state %s", state)
	}
	// A figure that the kernel has shown.
	got, err := queuedAt(line(ip, stateConnecting, "AD6E50D4:00000000")+line(ip, "01", "00000001:00000002"), ip)
	require.NoError(t, err)
	require.EqualValues(t, 3, got)
}

// Guards against bytes that the count misses: those that a socket's process has not read, and
// those that its peer has not.
func TestQueuedBytesAreCounted(t *testing.T) {
	const (
		unread = 100_000
		// unsent is more than the buffers of both sockets hold, and leftUnsent less than what
		// stays in those of the one that writes.
		unsent, leftUnsent = 16 << 20, 16 << 10
	)
	ip := fmt.Sprintf("127.%d.%d.10", 100+os.Getpid()%50, os.Getpid()/50%250)
	l, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	defer l.Close()
	out, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer out.Close()
	in, err := l.Accept()
	require.NoError(t, err)
	defer in.Close()
	_, err = out.Write(make([]byte, unread))
	require.NoError(t, err)
	go func() { _, _ = in.Write(make([]byte, unsent)) }() // It ends with the connection.
	require.Eventually(t, func() bool {
		table, err := os.ReadFile("/proc/net/tcp")
		require.NoError(t, err)
		got, err := queuedAt(string(table), ip)
		require.NoError(t, err)
		return got > unread+leftUnsent
	}, 5*time.Second, 10*time.Millisecond)
}

// A socket that is being connected takes no bytes, so that leaving it out of the count hides none.
func TestConnectingSocketTakesNoBytes(t *testing.T) {
	ip := fmt.Sprintf("127.%d.%d.11", 100+os.Getpid()%50, os.Getpid()/50%250)
	var address unix.SockaddrInet4
	copy(address.Addr[:], net.ParseIP(ip).To4())
	listener, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	defer unix.Close(listener)
	require.NoError(t, unix.Bind(listener, &address))
	require.NoError(t, unix.Listen(listener, 0))
	bound, err := unix.Getsockname(listener)
	require.NoError(t, err)
	// Nobody accepts, so that only the first connections are established.
	connecting := -1
	for range 4 {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
		require.NoError(t, err)
		defer unix.Close(fd)
		require.ErrorIs(t, unix.Connect(fd, bound), unix.EINPROGRESS)
		connecting = fd
	}
	time.Sleep(20 * time.Millisecond)
	info, err := unix.GetsockoptTCPInfo(connecting, unix.IPPROTO_TCP, unix.TCP_INFO)
	require.NoError(t, err)
	require.Equal(t, stateConnecting, fmt.Sprintf("%02X", info.State))
	_, err = unix.Write(connecting, make([]byte, 1000))
	require.ErrorIs(t, err, unix.EAGAIN)
}
