package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/limpetdock/limpetdock/internal/death"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var names = mesh.HeaderNames{RequestID: "X-Id"}

// backend is a backend server that serves each connection with a function.
type backend struct {
	net.Listener
	accepted atomic.Int32
}

// connection is the backend server's end of a connection.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

// next reads a request and returns its ID.
func (c *connection) next() (string, error) {
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.Header.Get("X-Id"), err
}

func (c *connection) write(format string, a ...any) { _, _ = fmt.Fprintf(c, format, a...) }

func (c *connection) answer(id, body string) {
	c.write("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func serve(t *testing.T, f func(c *connection)) (*backend, *exchange.Client) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &backend{Listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.accepted.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				f(&connection{c, bufio.NewReader(c)})
			}()
		}
	}()
	client := exchange.NewClient(l.Addr().String(), names)
	t.Cleanup(func() {
		client.Close()
		_ = l.Close()
	})
	return b, client
}

func always() bool { return true }

func message(id string) *exchange.Message {
	return &exchange.Message{Method: "GET", URI: "/a?b=c", Host: "h", Header: http.Header{"X-Id": {id}}}
}

// echo answers every request.
func echo(c *connection) {
	for {
		id, err := c.next()
		if err != nil {
			return
		}
		c.answer(id, "for "+id)
	}
}

func TestIdleConnectionIsReused(t *testing.T) {
	b, client := serve(t, echo)
	for i := range 5 {
		id := fmt.Sprint(i)
		a, f := client.Do(t.Context(), message(id), always)
		require.Nil(t, f)
		require.Equal(t, "for "+id, string(a.Body))
	}
	require.EqualValues(t, 1, b.accepted.Load())
}

// Guards against a path or query that reaches the backend server changed.
func TestURIArrivesUnchanged(t *testing.T) {
	received := make(chan string, 1)
	_, client := serve(t, func(c *connection) {
		for {
			r, err := http.ReadRequest(c.reader)
			if err != nil {
				return
			}
			received <- r.RequestURI
			c.answer(r.Header.Get("X-Id"), "")
		}
	})
	for _, uri := range []string{
		"/a?b=c", "/a/?", "/a%2Fb/%41?x=%2f", "/a|b", "//", "//a//b/?c=//d", "//a%2Fb/%41", "//a?", "///a", "/a//b", "//h:80/a", "//a?b=|",
	} {
		m := message("1")
		m.URI = uri
		_, f := client.Do(t.Context(), m, always)
		require.Nil(t, f)
		require.Equal(t, uri, <-received)
	}
}

// Guards against a late second answer to one request that is passed on as the answer to
// the next one, which would show a caller the answer to another caller's request.
func TestAnswerToOtherRequestIsSkipped(t *testing.T) {
	_, client := serve(t, func(c *connection) {
		last := ""
		for {
			id, err := c.next()
			if err != nil {
				return
			}
			if last != "" {
				c.answer(last, "again for "+last)
			}
			c.answer(id, "for "+id)
			last = id
		}
	})
	for _, id := range []string{"a", "b", "c"} {
		a, f := client.Do(t.Context(), message(id), always)
		require.Nil(t, f)
		require.Equal(t, "for "+id, string(a.Body))
	}
}

// Guards against an extra answer on an idle connection that is taken for the next
// request's, or that leaves that request's outcome unknown.
func TestExtraAnswerOnIdleConnectionIsDiscarded(t *testing.T) {
	_, client := serve(t, func(c *connection) {
		for {
			id, err := c.next()
			if err != nil {
				return
			}
			c.answer(id, "for "+id)
			c.answer(id, "extra")
		}
	})
	for i := range 20 {
		id := fmt.Sprint(i)
		a, f := client.Do(t.Context(), message(id), always)
		require.Nil(t, f)
		require.Equal(t, "for "+id, string(a.Body))
	}
}

// Guards against bytes that aren't an answer, sent after a complete one, reaching a later
// request.
func TestGarbageAfterAnswerClosesConnection(t *testing.T) {
	garbage := make(chan struct{}, 1)
	b, client := serve(t, func(c *connection) {
		id, err := c.next()
		if err != nil {
			return
		}
		c.answer(id, "for "+id)
		c.write("%s", strings.Repeat("x", 10)+"\r\n\r\n")
		garbage <- struct{}{}
		_, _ = c.next()
	})
	_, f := client.Do(t.Context(), message("a"), always)
	require.Nil(t, f)
	<-garbage
	require.Eventually(t, func() bool {
		a, f := client.Do(t.Context(), message("b"), always)
		return f == nil && string(a.Body) == "for b"
	}, time.Minute, time.Millisecond)
	require.Greater(t, b.accepted.Load(), int32(1))
}

// A backend server refuses an upload before all of it was sent, and keeps the connection
// open to read the rest. Guards against another request's bytes being read as that rest.
func TestEarlyAnswerClosesConnection(t *testing.T) {
	b, client := serve(t, func(c *connection) {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		c.answer(r.Header.Get("X-Id"), "early")
		if r.ContentLength == 0 {
			return
		}
		// Part of the body stays unread, as the buffers between the two ends are full.
		_, _ = io.CopyN(io.Discard, c.reader, 1)
		_, _ = c.reader.ReadByte()
	})
	big := message("a")
	big.Method, big.Body, big.AtMostOnce = "POST", make([]byte, 32<<20), true
	a, f := client.Do(t.Context(), big, always)
	require.Nil(t, f)
	require.Equal(t, "early", string(a.Body))
	_, f = client.Do(t.Context(), message("b"), always)
	require.Nil(t, f)
	require.EqualValues(t, 2, b.accepted.Load())
}

// Guards against a request that is sent after its caller has given it up, because the
// process was frozen between its last check of the clock and the write.
func TestRequestThatIsNoLongerAllowedIsNotSent(t *testing.T) {
	var got atomic.Int32
	_, client := serve(t, func(c *connection) {
		for {
			if _, err := c.next(); err != nil {
				return
			}
			got.Add(1)
		}
	})
	_, f := client.Do(t.Context(), message("a"), func() bool { return false })
	require.NotNil(t, f)
	require.Equal(t, exchange.NotSent, f.Outcome)
	require.Zero(t, got.Load())
}

func TestOutcomeIsUnknownAfterIncompleteAnswer(t *testing.T) {
	cases := map[string]func(c *connection, id string){
		"no answer":  func(*connection, string) {},
		"cut header": func(c *connection, _ string) { c.write("HTTP/1.1 200 OK\r\nX-") },
		"cut body": func(c *connection, id string) {
			c.write("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 9\r\n\r\nhalf", id)
		},
		"cut chunk": func(c *connection, id string) {
			c.write("HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf", id)
		},
		"no answer at all":          func(c *connection, _ string) { c.write("what\r\n\r\n") },
		"answers to other requests": func(c *connection, _ string) { c.answer("x", ""); c.answer("y", ""); c.answer("z", "") },
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			_, client := serve(t, func(c *connection) {
				id, err := c.next()
				if err == nil {
					f(c, id)
				}
			})
			_, failure := client.Do(t.Context(), message("a"), always)
			require.NotNil(t, failure)
			require.Equal(t, exchange.Unknown, failure.Outcome)
		})
	}
}

// An answer without a length ends with its connection, and is complete then.
func TestAnswerWithoutLengthEndsWithConnection(t *testing.T) {
	_, client := serve(t, func(c *connection) {
		id, err := c.next()
		if err == nil {
			c.write("HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nto the end", id)
		}
	})
	a, f := client.Do(t.Context(), message("a"), always)
	require.Nil(t, f)
	require.Equal(t, "to the end", string(a.Body))
}

func TestRefusedDialIsUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	_, f := exchange.NewClient(addr, names).Do(t.Context(), message("a"), always)
	require.Equal(t, exchange.Unreachable, f.Outcome)
}

// When the caller leaves, the backend server must notice it by the end of its connection,
// so that it can stop working on the request.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan error, 1)
	started := make(chan struct{})
	_, client := serve(t, func(c *connection) {
		if _, err := c.next(); err != nil {
			return
		}
		close(started)
		_, err := c.reader.ReadByte()
		closed <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, f := client.Do(ctx, message("a"), always)
	require.Equal(t, exchange.Unknown, f.Outcome)
	require.Error(t, <-closed)
}

// Guards against a request that is reset because it reuses a connection that the backend
// server closed while it was idle.
func TestConnectionClosedWhileIdleIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 1)
	_, client := serve(t, func(c *connection) {
		id, err := c.next()
		if err != nil {
			return
		}
		c.answer(id, "for "+id)
		_ = c.Close()
		closed <- struct{}{}
	})
	_, f := client.Do(t.Context(), message("a"), always)
	require.Nil(t, f)
	<-closed
	once := message("b")
	once.AtMostOnce = true
	require.Eventually(t, func() bool {
		_, f := client.Do(t.Context(), once, always)
		return f == nil
	}, time.Minute, time.Millisecond)
}

// Guards against requests in flight at one death of a backend server that report different
// deaths, and against requests on its old connections that are blamed for it.
func TestDeathIsSharedByRequestsInFlightOnly(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	arrived, die := make(chan struct{}), make(chan struct{})
	serveOn := func(l net.Listener) {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				b := &connection{c, bufio.NewReader(c)}
				if _, err := b.next(); err == nil {
					arrived <- struct{}{}
					<-die
				}
				_ = c.Close()
			}()
		}
	}
	go serveOn(l)
	client := exchange.NewClient(l.Addr().String(), names)
	failures := make(chan *exchange.Failure, 2)
	for _, id := range []string{"a", "b"} {
		go func() {
			_, f := client.Do(t.Context(), message(id), always)
			failures <- f
		}()
		<-arrived
	}
	require.NoError(t, l.Close())
	close(die)
	first, second := <-failures, <-failures
	require.Equal(t, death.Refused, client.Investigate(t.Context(), first, unused))
	require.Equal(t, death.Noticed, client.Investigate(t.Context(), second, unused))
	require.Equal(t, first.Generation, second.Generation)

	again, err := net.Listen("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = again.Close() }()
	go serveOn(again)
	go func() { <-arrived }()
	_, cut := client.Do(t.Context(), message("c"), always)
	require.Equal(t, first.Generation+1, cut.Generation)
	require.Equal(t, death.Accepts, client.Investigate(t.Context(), cut, unused), "a server that only closes the connection still listens")
}

// Guards against a new connection for each exchange that a loaded server breaks off.
func TestServerThatGoesOnWithOthersIsNotAskedWhetherItLives(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{}, 1)
	_, client := serve(t, func(c *connection) {
		id, err := c.next()
		if err != nil || id == "broken" {
			return
		}
		arrived <- struct{}{}
		<-release
		c.answer(id, "late")
	})
	done := make(chan *exchange.Failure)
	go func() {
		_, f := client.Do(t.Context(), message("long"), always)
		done <- f
	}()
	<-arrived
	_, f := client.Do(t.Context(), message("broken"), always)
	require.Equal(t, exchange.Unknown, f.Outcome)
	opened := client.Opened()
	require.Equal(t, death.OthersContinue, client.Investigate(t.Context(), f, unused))
	require.Equal(t, opened, client.Opened())
	close(release)
	require.Nil(t, <-done)
}

// unused is for failures that need no further request.
func unused(context.Context) bool { panic("the backend server is asked") }
