package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/budget"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
)

const (
	// maxBufferedBody is the largest request body, in bytes, that is buffered so that the
	// request can be sent to another target. Longer ones are streamed.
	maxBufferedBody = 64 << 10
	// maxKey is the longest idempotency key, in bytes.
	maxKey = 200
	// maxDepth is the maximum length of a call chain.
	maxDepth = 16
)

// request is a parsed caller's request.
type request struct {
	in      *http.Request
	service *pick.Service
	// ask is reused for each choice of a target.
	ask pick.Selection
	// route is the rule that matched, or nil.
	route *fleet.Route
	// retryBudget is the service's retry budget, and chain the remaining budget of the call chain.
	retryBudget *budget.Retry
	chain       budget.Chain
	// atMostOnce is true if the request must run at most once.
	atMostOnce bool
	// hops is to how many targets an idempotent request may be sent.
	hops    int
	timeout time.Duration
	// key is the caller's own idempotency key, and ticket one issued by an entry.
	key    string
	ticket *ticket
	// cancel ends the context that the request was admitted with.
	cancel context.CancelFunc
	// hedged is true if a second copy was sent; there is never a third.
	hedged bool
	// arrived is when the request was read, including its body if that is buffered.
	arrived time.Time
	depth   int
	// body is the buffered body; nil if the request's body is streamed.
	body   []byte
	stream bool
	// suspected is true if the request must run alone on its target.
	suspected bool
	// onTrial is true if the request was blocked before, so that it may run on one target only.
	onTrial     bool
	fingerprint uint64
	// bodyRead is true if some of a streamed body has been read.
	bodyRead atomic.Bool
}

// parse checks a caller's request against the configuration in force. If its route and key
// could be read, it returns the request also with an error.
func parse(v *pick.View, r *http.Request) (*request, *kind.Error) {
	if r.Header.Get("Upgrade") != "" || r.Method == http.MethodConnect {
		return nil, kind.New(kind.BadRequest, "protocol upgrades and CONNECT aren't supported")
	}
	name := r.Header.Get(headers.Service)
	conf := v.Config.Lookup(name, r.Host)
	if conf == nil {
		return nil, kind.New(kind.UnknownService, "no service %q is declared", kind.Clip(orHost(name, r.Host)))
	}
	x := &request{in: r, service: v.Services[conf.Name]}
	if err := x.parseKey(); err != nil {
		return nil, err
	}
	route := conf.Match(r.Method, r.URL.Path)
	x.atMostOnce = route == nil || !route.Idempotent
	x.hops = conf.HopsFor(route)
	x.route = route
	x.chain = budget.ParseChain(r.Header.Get(headers.RetriesLeft))
	if err := x.parseTimeout(); err != nil {
		return x, err
	}
	return x, x.parseDepth()
}

// parseKey distinguishes a ticket from a caller's own key.
func (x *request) parseKey() *kind.Error {
	key := x.in.Header.Get(headers.IdempotencyKey)
	if strings.HasPrefix(key, ticketPrefix) {
		t, err := decodeTicket(x.service.Name, key)
		if err != nil {
			return kind.New(kind.BadRequest, "%s: %s", headers.IdempotencyKey, err)
		}
		x.ticket = t
		return nil
	}
	if len(key) > maxKey {
		return kind.New(kind.BadRequest, "%s is longer than %d bytes", headers.IdempotencyKey, maxKey)
	}
	x.key = key
	return nil
}

func orHost(name, host string) string {
	if name != "" {
		return name
	}
	return host
}

func (x *request) parseTimeout() *kind.Error {
	x.timeout = x.service.Timeout
	value := x.in.Header.Get(headers.TimeoutMs)
	if value == "" {
		return nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 || strings.HasPrefix(value, "+") {
		return kind.New(kind.BadRequest, "%s must be whole milliseconds", headers.TimeoutMs)
	}
	if ms == 0 {
		return kind.New(kind.DeadlineNotRun, "the deadline has passed already")
	}
	x.timeout = x.service.MaxTimeout
	if limit := x.service.MaxTimeout.Milliseconds(); ms < limit {
		x.timeout = time.Duration(ms) * time.Millisecond
	}
	return nil
}

func (x *request) parseDepth() *kind.Error {
	value := x.in.Header.Get(headers.Depth)
	if value == "" {
		return nil
	}
	depth, err := strconv.Atoi(value)
	if err != nil || depth < 0 {
		return kind.New(kind.BadRequest, "%s must be a whole number", headers.Depth)
	}
	if depth >= maxDepth {
		return kind.New(kind.TooDeep, "the call chain is longer than %d", maxDepth)
	}
	x.depth = depth
	return nil
}

// bufferBody reads a small body completely. A long body, or one without a length, is streamed.
func (x *request) bufferBody() *kind.Error {
	r := x.in
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		x.stream = true
		return nil
	}
	x.body = make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, x.body)
	if err != nil {
		cause := kind.New(kind.BodyCut, "the request's body was truncated").WithCause(err)
		cause.Outcome = kind.NotRun
		return cause
	}
	return nil
}

// sentBody is the body of a request to a guard. It records when it is first read: from then on
// a streamed request can't be sent to another target.
type sentBody struct {
	io.ReadCloser
	bodyRead atomic.Bool
	cut      atomic.Bool
	owner    *request
}

func (b *sentBody) Read(p []byte) (int, error) {
	b.bodyRead.Store(true)
	if b.owner != nil {
		b.owner.bodyRead.Store(true)
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.cut.Store(true)
	}
	return n, err
}

// cut reports whether a streamed body was truncated on the caller's side.
func (x *request) cut(body *sentBody) bool { return x.stream && body.cut.Load() }

// outgoing returns the request for a guard, with its own body.
func (x *request) outgoing() (*http.Request, *sentBody) {
	in := x.in
	out := &http.Request{
		Method: in.Method, URL: cloneURL(in), Host: in.Host, Header: in.Header.Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: in.ContentLength,
	}
	headers.StripInternal(out.Header)
	headers.StripHopByHop(out.Header)
	headers.SetAll(out.Header, headers.Service, x.service.Name, headers.RetriesLeft, x.chain.String(),
		headers.Depth, strconv.Itoa(x.depth+1), headers.Config, x.service.Stamp)
	if x.suspected {
		out.Header.Set(headers.Suspect, "1")
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil
	}
	var body *sentBody
	switch {
	case x.stream:
		body = &sentBody{ReadCloser: io.NopCloser(in.Body), owner: x}
		// The guard requests the body only once it has admitted the request, so a refusal
		// leaves the body unread and the request can be sent to another target.
		out.Header.Set("Expect", "100-continue")
	case x.body != nil:
		out.Header.Del("Expect")
		body = &sentBody{ReadCloser: io.NopCloser(bytes.NewReader(x.body))}
	default:
		out.Header.Del("Expect")
		out.Body = http.NoBody
		return out, &sentBody{}
	}
	out.Body = body
	return out, body
}
