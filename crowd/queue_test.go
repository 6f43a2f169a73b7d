package crowd

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// States of sockets in the kernel.
const (
	// stateConnecting is that of a socket whose connection has not been established. The kernel
	// takes no bytes for it yet. While it sets the connection up, it shows the difference of two
	// sequence numbers of which one is not set, which is any number up to 4 GB.
	stateConnecting = 2
	stateListening  = 10
	// firstState and lastState are the first and the last state of TCP. A socket that is only
	// bound has a higher one, and is not connected yet either.
	firstState, lastState = 1, 12
	// countedStates is the set of all states of TCP but connecting and listening.
	countedStates = uint32(1<<(lastState+1)-1<<firstState) &^ (1<<stateConnecting | 1<<stateListening)
)

// Sizes and numbers of the kernel's interface for the diagnosis of sockets (sock_diag(7)).
const (
	diagByFamily     = 20
	diagSocketSize   = 48 // struct inet_diag_sockid
	diagMessageSize  = 4 + diagSocketSize + 20
	diagBytecodeAttr = 1
	diagSourceCond   = 7
	diagCondSize     = 16
	// diagReject is a jump beyond the end of the condition.
	diagReject = diagCondSize + 4
)

// queuedAt returns the bytes in the kernel's queues of the sockets at an IP address. It asks the
// kernel for these sockets only. Beside other load, the table of all sockets in /proc takes tens
// of milliseconds to read, and lists connections that were replaced meanwhile beside the new ones.
func queuedAt(ip string) (int64, error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return 0, err
	}
	defer unix.Close(fd)
	if err := unix.Sendto(fd, diagRequest(ip), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, err
	}
	var sum int64
	for buf := make([]byte, 1<<20); ; {
		n, _, err := unix.Recvfrom(fd, buf, 0)
		if err != nil {
			return 0, err
		}
		queued, done, err := sumQueues(buf[:n])
		if err != nil {
			return 0, err
		}
		sum += queued
		if done {
			return sum, nil
		}
	}
}

// diagRequest returns a request for the TCP sockets at an IP address in one of countedStates.
func diagRequest(ip string) []byte {
	order := binary.NativeEndian
	var b []byte
	b = order.AppendUint32(b, 0) // the length, set below
	b = order.AppendUint16(b, diagByFamily)
	b = order.AppendUint16(b, unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	b = append(b, make([]byte, 8)...) // sequence number and port
	b = append(b, unix.AF_INET, unix.IPPROTO_TCP, 0, 0)
	b = order.AppendUint32(b, countedStates)
	b = append(b, make([]byte, diagSocketSize)...)
	b = order.AppendUint16(b, 4+diagCondSize)
	b = order.AppendUint16(b, diagBytecodeAttr)
	b = append(b, diagSourceCond, diagCondSize)
	b = order.AppendUint16(b, diagReject)
	b = append(b, unix.AF_INET, 32, 0, 0) // all 32 bits of the address
	anyPort := int32(-1)
	b = order.AppendUint32(b, uint32(anyPort))
	b = append(b, net.ParseIP(ip).To4()...)
	order.PutUint32(b, uint32(len(b)))
	return b
}

// sumQueues returns the bytes in the queues of the sockets in an answer, and whether it is the
// last one.
func sumQueues(answer []byte) (sum int64, done bool, err error) {
	order := binary.NativeEndian
	for len(answer) >= unix.SizeofNlMsghdr {
		size := int(order.Uint32(answer))
		if size < unix.SizeofNlMsghdr || size > len(answer) {
			return 0, false, fmt.Errorf("message of %d bytes, %d left", size, len(answer))
		}
		message := answer[unix.SizeofNlMsghdr:size]
		switch order.Uint16(answer[4:]) {
		case unix.NLMSG_DONE:
			return sum, true, nil
		case unix.NLMSG_ERROR:
			return 0, false, errors.New("the kernel refuses the request")
		case diagByFamily:
			if len(message) < diagMessageSize {
				return 0, false, fmt.Errorf("socket of %d bytes", len(message))
			}
			const unread = 4 + diagSocketSize + 4
			sum += int64(order.Uint32(message[unread:])) + int64(order.Uint32(message[unread+4:]))
		}
		answer = answer[min(len(answer), (size+unix.NLMSG_ALIGNTO-1)&^(unix.NLMSG_ALIGNTO-1)):]
	}
	return sum, false, nil
}

// testAddress returns a loopback address of this process, with n as the last number.
func testAddress(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%50, os.Getpid()/50%250, n)
}

// Guards against a count that leaves out sockets, or bytes of one kind: received and not read,
// written and not taken, also by a socket that its process has closed.
func TestQueuedBytesAreCounted(t *testing.T) {
	const (
		unread = 100_000
		// unsent is more than the buffers of both sockets hold, and leftUnsent less than what
		// stays in those of the one that writes.
		unsent, leftUnsent = 16 << 20, 16 << 10
	)
	ip := testAddress(10)
	l, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	defer l.Close()
	requireQueued := func(least, most int64) {
		t.Helper()
		var got int64
		require.Eventually(t, func() bool {
			var err error
			got, err = queuedAt(ip)
			require.NoError(t, err)
			return got >= least && got <= most
		}, 5*time.Second, 10*time.Millisecond, "want %d to %d bytes", least, most)
	}
	requireQueued(0, 0)
	out, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer out.Close()
	in, err := l.Accept()
	require.NoError(t, err)
	_, err = out.Write(make([]byte, unread))
	require.NoError(t, err)
	requireQueued(unread, unread)
	require.NoError(t, in.SetWriteDeadline(time.Now().Add(300*time.Millisecond)))
	_, err = in.Write(make([]byte, unsent))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	requireQueued(unread+leftUnsent, unread+unsent)
	_, err = in.Read(make([]byte, unread))
	require.NoError(t, err)
	requireQueued(leftUnsent, unsent)
	require.NoError(t, in.Close())
	requireQueued(leftUnsent, unsent)
}

// Guards against a state that is left out, other than connecting and listening.
func TestAllOtherStatesAreCounted(t *testing.T) {
	for state := range 32 {
		counted := countedStates&(1<<state) != 0
		isState := state >= 1 && state <= 12
		require.Equal(t, isState && state != stateConnecting && state != stateListening, counted, "state %d", state)
	}
}

// A socket that is being connected takes no bytes, so that leaving it out of the count hides none.
func TestConnectingSocketTakesNoBytes(t *testing.T) {
	var address unix.SockaddrInet4
	copy(address.Addr[:], net.ParseIP(testAddress(11)).To4())
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
	require.EqualValues(t, stateConnecting, info.State)
	_, err = unix.Write(connecting, make([]byte, 1000))
	require.ErrorIs(t, err, unix.EAGAIN)
}
