package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Outcome is how a request of a client ended. Status is 0 if the connection ended without an answer.
type Outcome struct {
	ID        string
	Status    int
	Signature string
	Body      string
	Sent      time.Time
	Took      time.Duration
}

// Client is a client with one kept connection. It doesn't retry.
type Client struct {
	Addr, Host string
	Record     *Record
	conn       net.Conn
	reader     *bufio.Reader
}

// Do sends a request and waits for its answer, at most for the time limit and a second.
func (c *Client) Do(method, path, id string, limit time.Duration, body string) Outcome {
	o := Outcome{ID: id, Sent: time.Now()}
	defer func() { o.Took = time.Since(o.Sent) }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Addr, time.Second)
		if err != nil {
			c.Record.Printf("client can't connect for %s: %v", id, err)
			return o
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, c.Host, id, limit.Milliseconds())
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	c.Record.Printf("client sends %s %s %s to %s", id, method, path, c.Addr)
	_ = c.conn.SetDeadline(time.Now().Add(limit + time.Second))
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		c.drop()
		c.Record.Printf("client got no answer to %s: %v", id, err)
		return o
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		o.Body = string(text)
	}
	if err != nil {
		c.drop()
		c.Record.Printf("client got no answer to %s: %v", id, err)
		return o
	}
	o.Status, o.Signature = resp.StatusCode, resp.Header.Get("Server-Signature")
	c.Record.Printf("client got %d for %s, signature %q, body %q", o.Status, id, o.Signature, o.Body)
	if resp.Close {
		c.drop()
	}
	return o
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.drop()
	}
}

func (c *Client) drop() {
	_ = c.conn.Close()
	c.conn = nil
}
