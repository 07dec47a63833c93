package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/headers"
)

// raw sends bytes to an address and returns the answers received until the
// connection is closed. The last request must ask for the close.
func raw(addr, text string) (statuses []int, answers []*http.Response) {
	conn, err := net.DialTimeout("tcp", addr, 20*time.Second)
	if err != nil {
		return nil, nil
	}
	defer func() { _ = conn.Close() }()
	if conn.SetDeadline(time.Now().Add(20*time.Second)) != nil {
		return nil, nil
	}
	// A server that refuses a request may close the connection before reading all of it.
	_, _ = io.WriteString(conn, text)
	r := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return statuses, answers
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		statuses = append(statuses, resp.StatusCode)
		answers = append(answers, resp)
	}
}

// sentinel is a second request on the same connection. It is answered only if the
// node found the correct end of the previous request.
const sentinel = "GET /sentinel HTTP/1.1\r\nHost: orders\r\nConnection: close\r\n\r\n"

const smuggled = "GET /smuggled HTTP/1.1\r\nHost: orders\r\n\r\n"

// Guards against request smuggling: a caller hides a second request in the supposed
// body of the first. If the node and the backend server disagree about where the
// first request ends, the second one runs without the rules of its route, or its
// answer goes to another caller. Each malformed request must be refused, or reach
// the backend server with exactly one interpretation.
func TestRequestSmugglingIsPrevented(t *testing.T) {
	const put = "PUT /uploads/x HTTP/1.1\r\nHost: orders\r\n"
	type passed struct{ body string }
	// midway stands for an error found while the body is streamed: the answer is a
	// refusal or an unknown outcome, never a success.
	const midway = -1
	tests := map[string]struct {
		text string
		// refused is the status of a refusal; the backend server must not have received a
		// complete request. 0 is for a request that is forwarded.
		refused int
		// passed is the one request that the backend server must have received.
		passed *passed
	}{
		"both lengths, chunks win": {put + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 0, &passed{"hello"}},
		"both lengths, a request after the end of chunks": {
			put + "Content-Length: 47\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n0\r\n\r\n" + smuggled, 0, &passed{""},
		},
		"two different lengths":   {put + "Content-Length: 0\r\nContent-Length: 40\r\n\r\n" + smuggled, 400, nil},
		"a list of lengths":       {put + "Content-Length: 0, 40\r\n\r\n" + smuggled, 400, nil},
		"the same length twice":   {put + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", 0, &passed{"hello"}},
		"a signed length":         {put + "Content-Length: +5\r\n\r\nhello", 400, nil},
		"a negative length":       {put + "Content-Length: -5\r\n\r\nhello", 400, nil},
		"a hexadecimal length":    {put + "Content-Length: 0x5\r\n\r\nhello", 400, nil},
		"an empty length":         {put + "Content-Length: \r\n\r\n" + smuggled, 400, nil},
		"a coding in mixed case":  {put + "Transfer-Encoding: ChUnKeD\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 0, &passed{"hello"}},
		"an unknown coding":       {put + "Transfer-Encoding: xchunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 501, nil},
		"identity":                {put + "Transfer-Encoding: identity\r\nContent-Length: 5\r\n\r\nhello", 501, nil},
		"two codings":             {put + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501, nil},
		"chunked twice":           {put + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 501, nil},
		"a tab before the coding": {put + "Transfer-Encoding:\x0bchunked\r\n\r\n0\r\n\r\n", 400, nil},
		"a space before the colon": {
			put + "Transfer-Encoding : chunked\r\nContent-Length: 45\r\n\r\n0\r\n\r\n" + smuggled, 400, nil,
		},
		"a folded coding":               {put + "Transfer-Encoding:\r\n chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 0, &passed{"hello"}},
		"a folded header":               {put + "X-A: b\r\n c\r\nContent-Length: 5\r\n\r\nhello", 0, &passed{"hello"}},
		"a first header that is folded": {"PUT /uploads/x HTTP/1.1\r\n Host: orders\r\n\r\n", 400, nil},
		"NUL in a header":               {put + "X-A: b\x00c\r\n\r\n", 400, nil},
		"NUL in a name":                 {put + "X-\x00A: b\r\n\r\n", 400, nil},
		"CR alone in a header":          {put + "X-A: b\rX-B: c\r\n\r\n", 400, nil},
		"a header without a colon":      {put + "X-A\r\n\r\n", 400, nil},
		"a high byte in a name":         {put + "X-\xffA: b\r\n\r\n", 400, nil},
		"a bad chunk length":            {put + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n", midway, nil},
		"a signed chunk length":         {put + "Transfer-Encoding: chunked\r\n\r\n+5\r\nhello\r\n0\r\n\r\n", midway, nil},
		"a chunk longer than declared":  {put + "Transfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n", midway, nil},
		"an overflowing chunk length":   {put + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\nhello\r\n0\r\n\r\n", midway, nil},
		"a chunk line that ends in LF":  {put + "Transfer-Encoding: chunked\r\n\r\n5\nhello\r\n0\r\n\r\n", midway, nil},
		"chunks of HTTP/1.0":            {"PUT /uploads/x HTTP/1.0\r\nHost: orders\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled, 0, &passed{""}},
		"two hosts":                     {put + "Host: depot\r\n\r\n", 400, nil},
		"no host":                       {"PUT /uploads/x HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400, nil},
		"an unknown version":            {"PUT /uploads/x HTTP/1.9x\r\nHost: orders\r\n\r\n", 400, nil},
		"HTTP/2 without an upgrade":     {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 404, nil},
		"lines that end in LF":          {"PUT /uploads/x HTTP/1.1\nHost: orders\nContent-Length: 5\n\nhello", 0, &passed{"hello"}},
	}
	b := newBackend(t)
	n := start(t, b, logr.Logger{})
	number := 0
	for name, test := range tests {
		number++
		// The backend server may notice the end of an aborted request only while the next
		// case runs, so each case has its own paths.
		upload, last := fmt.Sprintf("/uploads/%d", number), fmt.Sprintf("/sentinel/%d", number)
		t.Run(name, func(t *testing.T) {
			text := strings.NewReplacer("/uploads/x", upload, "/sentinel", last).Replace(test.text + sentinel)
			statuses, _ := raw(n.set.Callers, text)
			var got []recordedRequest
			for _, r := range b.takeRequests() {
				require.NotEqual(t, "/smuggled", r.Path)
				if r.Path == upload || r.Path == last {
					got = append(got, r)
				}
			}
			require.NotEmpty(t, statuses)
			if test.passed == nil {
				require.Len(t, statuses, 1, "no request is read after a bad one")
				if test.refused == midway {
					require.Contains(t, []int{http.StatusBadRequest, http.StatusBadGateway}, statuses[0])
				} else {
					require.Equal(t, test.refused, statuses[0])
					require.Empty(t, got)
				}
				return
			}
			require.Equal(t, http.StatusOK, statuses[0])
			require.Equal(t, test.passed.body, got[0].Body)
			if len(statuses) == 1 {
				require.Len(t, got, 1)
				return
			}
			require.Equal(t, []int{http.StatusOK, http.StatusOK}, statuses)
			require.Len(t, got, 2)
			require.Equal(t, last, got[1].Path)
		})
	}
}

// Guards against forged internal headers: a caller may set headers that nodes use
// among themselves, or a backend server may answer with headers that report an
// outcome. The next node or the caller would trust them.
func TestInternalHeadersAreStripped(t *testing.T) {
	b := newBackend(t)
	n := start(t, b, logr.Logger{})
	b.setAnswer(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.Kind, "overloaded")
		w.Header().Set(headers.Outcome, "not-run")
		w.Header().Set(headers.Incarnation, "1")
		w.Header().Set(headers.Ticket, "forged")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	text := "GET /x HTTP/1.1\r\nHost: orders\r\nConnection: close\r\n"
	internal := []string{
		headers.Attempt, headers.Incarnation, headers.Tick, headers.Exchange, headers.Config, headers.Fleet,
		headers.Collect, headers.Suspect, headers.Load, headers.Kind, headers.Outcome,
	}
	for i, name := range internal {
		if i%2 == 0 {
			name = strings.ToLower(name)
		}
		text += name + ": forged\r\n"
	}
	statuses, answers := raw(n.set.Callers, text+"\r\n")
	require.Equal(t, []int{http.StatusServiceUnavailable}, statuses)
	for _, name := range append(internal, headers.Ticket) {
		require.Empty(t, answers[0].Header.Values(name), name)
	}
	got := b.takeRequests()
	require.Len(t, got, 1, "an answer made by the backend server is not retried")
	for _, name := range internal {
		require.Empty(t, got[0].Header.Values(name), name)
	}
}

func TestHeaderSizeIsLimited(t *testing.T) {
	b := newBackend(t)
	n := start(t, b, logr.Logger{})
	for name, text := range map[string]string{
		"one long header": "X-A: " + strings.Repeat("a", 48<<10) + "\r\n",
		"many headers":    strings.Repeat("X-A: aaaaaaaaaaaaaaaaaaaaaaaaaa\r\n", 1500),
	} {
		// Send exactly what the server reads before it refuses. Unread bytes would make the
		// kernel reset the connection, possibly before the answer arrives.
		const libraryAdds = 4096
		text = ("GET /x HTTP/1.1\r\nHost: orders\r\n" + text)[:maxHeader+libraryAdds]
		statuses, _ := raw(n.set.Callers, text)
		require.Equal(t, []int{http.StatusRequestHeaderFieldsTooLarge}, statuses, name)
	}
	require.Empty(t, b.takeRequests())
}

// Guards against requests sent directly to a guard's port by an unknown client or by
// another fleet's entry with an outdated VM list. Without the check the backend
// server would run another fleet's requests.
func TestGuardPortRefusesOtherFleets(t *testing.T) {
	b := newBackend(t)
	n := start(t, b, logr.Logger{})
	const request = "GET /x HTTP/1.1\r\nHost: x\r\nLimpetdock-Service: orders\r\nLimpetdock-Timeout-Ms: 1000\r\nConnection: close\r\n"
	for _, wrong := range []string{"", headers.Fleet + ": depot\r\n", headers.Fleet + ":\r\n"} {
		statuses, answers := raw(n.set.Guard, request+wrong+"\r\n")
		require.Equal(t, []int{http.StatusMisdirectedRequest}, statuses)
		require.Equal(t, "not-run", answers[0].Header.Get(headers.Outcome))
	}
	require.Empty(t, b.takeRequests())
	statuses, _ := raw(n.set.Guard, request+headers.Fleet+": shop\r\n\r\n")
	require.Equal(t, []int{http.StatusOK}, statuses)
	require.Len(t, b.takeRequests(), 1)
}

func TestConnectionsPerAddressAreLimited(t *testing.T) {
	b := newBackend(t)
	n := start(t, b, logr.Logger{})
	var open []net.Conn
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	for range n.set.ConnsPerIP {
		conn, err := net.Dial("tcp", n.set.Callers)
		require.NoError(t, err)
		open = append(open, conn)
	}
	refused := n.servers.callers.counters
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", n.set.Callers)
		if err == nil {
			_ = conn.Close()
		}
		return refused.refused.Load() > 0
	}, 20*time.Second, 10*time.Millisecond)
	for _, c := range open {
		_ = c.Close()
	}
	require.Eventually(t, func() bool {
		statuses, _ := raw(n.set.Callers, "GET /x HTTP/1.1\r\nHost: orders\r\nConnection: close\r\n\r\n")
		return len(statuses) == 1 && statuses[0] == http.StatusOK
	}, 20*time.Second, 10*time.Millisecond, "closed connections free capacity")
}
