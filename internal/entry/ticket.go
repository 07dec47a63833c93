package entry

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// ticketPrefix starts every ticket and contains its version.
	ticketPrefix = "ldt1."
	// maxTicket is the longest ticket, in bytes.
	maxTicket = 400
	// avoidUnreachable is how long a target that couldn't be queried is not chosen.
	avoidUnreachable = time.Second
	// ticketRequestValue is the value of headers.Ticket in a request for a ticket.
	ticketRequestValue = "request"
)

// ticket permits one request to run at one incarnation of one target. It contains no secret:
// the request it names can run only once, whoever sends it.
type ticket struct {
	VM          string `msgpack:"v"`
	Incarnation uint64 `msgpack:"i"`
	// Tick is the guard's own coarse tick when the ticket was issued.
	Tick uint64 `msgpack:"t"`
	ID   string `msgpack:"n"`
}

var errInvalidTicket = eris.New("malformed, or for another service")

// encode returns the text of a ticket, with a checksum over the ticket and its service. A
// ticket that was truncated or is sent to another service is refused instead of looked up.
func (t *ticket) encode(service string) (string, error) {
	body, err := msgpack.Marshal(t)
	if err != nil {
		return "", eris.Wrap(err, "encode ticket")
	}
	sum := binary.BigEndian.AppendUint64(nil, checksum(service, body))
	return ticketPrefix + base64.RawURLEncoding.EncodeToString(append(sum, body...)), nil
}

func checksum(service string, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(service + "\x00")
	_, _ = h.Write(body)
	return h.Sum64()
}

const checksumSize = 8

// decodeTicket parses a ticket of a service.
func decodeTicket(service, text string) (*ticket, error) {
	raw, err := base64.RawURLEncoding.Strict().DecodeString(strings.TrimPrefix(text, ticketPrefix))
	if err != nil || len(raw) < checksumSize || len(text) > maxTicket {
		return nil, errInvalidTicket
	}
	sum, body := binary.BigEndian.Uint64(raw), raw[checksumSize:]
	if sum != checksum(service, body) {
		return nil, errInvalidTicket
	}
	t := &ticket{}
	if err := msgpack.Unmarshal(body, t); err != nil || t.VM == "" || t.ID == "" {
		return nil, errInvalidTicket
	}
	return t, nil
}

// issueTicket answers a request for a ticket. It chooses a target, as for a request, and
// queries it for its incarnation and tick. Nothing is stored.
func (e *Entry) issueTicket(ctx context.Context, w http.ResponseWriter, x *request) *kind.Error {
	if x.in.Method != http.MethodPost || x.in.Header.Get(headers.Ticket) != ticketRequestValue {
		return kind.New(kind.BadRequest, "a ticket is requested by POST with %s: %s", headers.Ticket, ticketRequestValue)
	}
	var tried []*pick.Target
	for range x.service.Hops {
		t := e.choose(ctx, x, tried)
		if t == nil {
			break
		}
		tried = append(tried, t)
		reply, err := e.queryAttempt(ctx, t, &wire.Seal{AskOnly: true})
		if err != nil {
			t.Stat.Avoid(e.now() + avoidUnreachable)
			continue
		}
		issued := &ticket{VM: t.Place.VM, Incarnation: reply.Incarnation, Tick: reply.Tick, ID: uuid.NewString()}
		return writeTicket(w, x.service.Name, issued)
	}
	return kind.New(kind.NoTarget, "no target can issue a ticket")
}

// ticketAnswer is the JSON body of the answer with a ticket.
type ticketAnswer struct {
	Ticket string `json:"ticket"`
	// ExpiresInMs is how long from now a request with the ticket may start, in milliseconds.
	ExpiresInMs int64 `json:"expires_in_ms"`
}

func writeTicket(w http.ResponseWriter, service string, issued *ticket) *kind.Error {
	text, err := issued.encode(service)
	if err != nil {
		return kind.From(err)
	}
	expires := attempt.TicketWindow - attempt.TickInterval
	body := &bytes.Buffer{}
	// Writing to a buffer can't fail.
	_ = json.NewEncoder(body).Encode(ticketAnswer{Ticket: text, ExpiresInMs: expires.Milliseconds()})
	h := w.Header()
	h.Set(headers.Ticket, text)
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set("Content-Length", strconv.Itoa(body.Len()))
	// A failed write means that the caller is gone; the server closes the connection.
	_, _ = w.Write(body.Bytes())
	return nil
}

// serveTicket sends a request to the one incarnation that its ticket names.
func (e *Entry) serveTicket(ctx context.Context, w http.ResponseWriter, v *pick.View, x *request) *kind.Error {
	t := targetOn(x, x.ticket.VM)
	if t == nil || t.Guard == "" {
		return kind.New(kind.KeyUnknown, "the server that the ticket names is no longer declared or listed")
	}
	var err *kind.Error
	for range maxKeyAttempts {
		var body *sentBody
		body, err = e.runAttempt(ctx, w, v, x, x.ticket.attemptAt(t))
		if err == nil {
			return nil
		}
		if err.Kind != kind.StaleAttempt || err.FromGuard || x.stream && body.bodyRead.Load() {
			break
		}
	}
	if err.Kind == kind.StaleAttempt && err.FromGuard {
		return kind.New(kind.KeyUnknown, "the process that the ticket names has ended; whether it ran the request is unknown")
	}
	return err
}

func (t *ticket) attemptAt(target *pick.Target) sentAttempt {
	return sentAttempt{
		target: target, id: attempt.TicketID(t.ID),
		identity: pick.Identity{Incarnation: t.Incarnation, Tick: t.Tick},
	}
}
