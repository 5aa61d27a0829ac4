package cwsoak_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

const (
	connectTimeout = time.Second
	// callerTimeout is how long a caller waits for a response.
	callerTimeout = 5 * time.Second
	// tcpEstablished is the state TCP_ESTABLISHED of Linux.
	tcpEstablished = 1
)

// callerConn is a caller's connection to an instance. Unlike net/http's client it never
// sends a request again, and it reports whether the instance has read the whole request.
type callerConn struct {
	net.Conn
	instance *gatewayProcess
	reader   *bufio.Reader
	// sentBytes counts whole requests; ackedAtStart is what TCP counted before the first.
	sentBytes, ackedAtStart uint64
	// usedAt is when the last response ended.
	usedAt time.Time
}

func dialInstance(p *gatewayProcess) (*callerConn, error) {
	conn, err := net.DialTimeout("tcp", p.ip+":8001", connectTimeout)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", p.ip, err)
	}
	c := &callerConn{Conn: conn, instance: p, reader: bufio.NewReader(conn)}
	info, err := c.tcpInfo()
	c.ackedAtStart = info.Bytes_acked
	return c, err
}

// exchange sends a request and reads its response. With a splitDelay above 0 it sends the
// body that much later than the header.
func (c *callerConn) exchange(req *http.Request, splitDelay time.Duration) response {
	result := response{requestID: req.Header.Get(headerRequestID), instance: c.instance, startedAt: time.Now()}
	result.err = c.send(req, splitDelay, &result)
	if result.err != nil {
		return result
	}
	resp, err := http.ReadResponse(c.reader, req)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		result.status, result.header, result.body, result.isLast = resp.StatusCode, resp.Header, string(body), resp.Close
	}
	result.endedAt = time.Now()
	if err == nil {
		return result
	}
	result.err = fmt.Errorf("read response of %s: %w", c.instance.ip, err)
	var netErr net.Error
	result.isCut = !errors.As(err, &netErr) || !netErr.Timeout()
	isEOF := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	info, infoErr := c.tcpInfo()
	// Linux resets a connection that is closed with unread bytes, and does not acknowledge
	// bytes that arrive after the close. If all bytes were acknowledged and the connection
	// was not reset, the process has read them.
	result.isRead = result.isRead && isEOF && infoErr == nil && info.Bytes_acked-c.ackedAtStart >= c.sentBytes
	return result
}

// send sends a request and sets the result's fields that concern the sending.
func (c *callerConn) send(req *http.Request, splitDelay time.Duration, result *response) error {
	var message bytes.Buffer
	if err := req.Write(&message); err != nil {
		return fmt.Errorf("format request: %w", err)
	}
	_ = c.SetDeadline(time.Now().Add(callerTimeout))
	rest := message.Bytes()
	if splitDelay > 0 {
		headerLength := bytes.Index(rest, []byte("\r\n\r\n")) + len("\r\n\r\n")
		if _, err := c.Write(rest[:headerLength]); err != nil {
			return fmt.Errorf("send header to %s: %w", c.instance.ip, err)
		}
		rest = rest[headerLength:]
		<-time.After(splitDelay)
	}
	if _, err := c.Write(rest); err != nil {
		return fmt.Errorf("send request to %s: %w", c.instance.ip, err)
	}
	result.sentAt = time.Now()
	c.sentBytes += uint64(message.Len())
	info, err := c.tcpInfo()
	// On loopback the bytes have arrived when Write returns. A connection that is still open
	// then was not closed before the request arrived. A close between Write and this line
	// counts as a close before.
	result.isRead = err == nil && info.State == tcpEstablished
	return nil
}

func (c *callerConn) tcpInfo() (unix.TCPInfo, error) {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return unix.TCPInfo{}, fmt.Errorf("access socket to %s: %w", c.instance.ip, err)
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err = errors.Join(err, infoErr); err != nil {
		return unix.TCPInfo{}, fmt.Errorf("read TCP info of connection to %s: %w", c.instance.ip, err)
	}
	return *info, nil
}
