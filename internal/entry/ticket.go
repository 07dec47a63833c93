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
	// ticketMark opens every ticket, with its version.
	ticketMark = "ldt1."
	// maxTicket is the longest ticket, in bytes.
	maxTicket = 400
	// avoidUnasked is how long a target that couldn't be asked is passed over.
	avoidUnasked = time.Second
	// ticketWanted is the value of headers.Ticket in a request for a ticket.
	ticketWanted = "request"
)

// ticket is leave to run one request at one incarnation of one target. It holds
// no secret: what it names can only ever run once, whoever sends it.
type ticket struct {
	VM          string `msgpack:"v"`
	Incarnation uint64 `msgpack:"i"`
	// Tick is the guard's own coarse tick when the ticket was issued.
	Tick uint64 `msgpack:"t"`
	ID   string `msgpack:"n"`
}

var errTicket = eris.New("malformed, or a ticket of another service")

// encode writes a ticket with a checksum over it and its service: a ticket that
// was clipped or is sent to another service is refused, not searched for.
func (t *ticket) encode(service string) (string, error) {
	body, err := msgpack.Marshal(t)
	if err != nil {
		return "", eris.Wrap(err, "encode ticket")
	}
	sum := binary.BigEndian.AppendUint64(nil, checksum(service, body))
	return ticketMark + base64.RawURLEncoding.EncodeToString(append(sum, body...)), nil
}

func checksum(service string, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(service + "\x00")
	_, _ = h.Write(body)
	return h.Sum64()
}

const checksumSize = 8

// decodeTicket reads a ticket of a service.
func decodeTicket(service, text string) (*ticket, error) {
	raw, err := base64.RawURLEncoding.Strict().DecodeString(strings.TrimPrefix(text, ticketMark))
	if err != nil || len(raw) < checksumSize || len(text) > maxTicket {
		return nil, errTicket
	}
	sum, body := binary.BigEndian.Uint64(raw), raw[checksumSize:]
	if sum != checksum(service, body) {
		return nil, errTicket
	}
	t := &ticket{}
	if err := msgpack.Unmarshal(body, t); err != nil || t.VM == "" || t.ID == "" {
		return nil, errTicket
	}
	return t, nil
}

// issue answers a request for a ticket: it chooses a target, as for a request,
// and asks it for its incarnation and tick. Nothing is recorded anywhere.
func (e *Entry) issue(ctx context.Context, w http.ResponseWriter, x *request) *kind.Error {
	if x.in.Method != http.MethodPost || x.in.Header.Get(headers.Ticket) != ticketWanted {
		return kind.New(kind.BadRequest, "a ticket is asked for by POST with %s: %s", headers.Ticket, ticketWanted)
	}
	var tried []*pick.Target
	for range x.service.Hops {
		t := e.choose(ctx, x, tried)
		if t == nil {
			break
		}
		tried = append(tried, t)
		reply, err := e.ask(ctx, t, &wire.Seal{AskOnly: true})
		if err != nil {
			t.Stat.Avoid(e.now() + avoidUnasked)
			continue
		}
		made := &ticket{VM: t.Place.VM, Incarnation: reply.Incarnation, Tick: reply.Tick, ID: uuid.NewString()}
		return writeTicket(w, x.service.Name, made)
	}
	return kind.New(kind.NoTarget, "no target can be asked for a ticket")
}

// ticketAnswer is the JSON body that a ticket comes in.
type ticketAnswer struct {
	Ticket string `json:"ticket"`
	// ExpiresInMs is how long from now the ticket may start to run, in milliseconds.
	ExpiresInMs int64 `json:"expires_in_ms"`
}

func writeTicket(w http.ResponseWriter, service string, made *ticket) *kind.Error {
	text, err := made.encode(service)
	if err != nil {
		return kind.From(err)
	}
	expires := attempt.TicketWindow - attempt.TickEvery
	body := &bytes.Buffer{}
	// A buffer can't fail to be written to.
	_ = json.NewEncoder(body).Encode(ticketAnswer{Ticket: text, ExpiresInMs: expires.Milliseconds()})
	h := w.Header()
	h.Set(headers.Ticket, text)
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set("Content-Length", strconv.Itoa(body.Len()))
	// A caller that is gone can't be told; the server closes the connection.
	_, _ = w.Write(body.Bytes())
	return nil
}

// serveTicket offers a request to the one incarnation that its ticket names.
func (e *Entry) serveTicket(ctx context.Context, w http.ResponseWriter, v *pick.View, x *request) *kind.Error {
	t := targetOn(x, x.ticket.VM)
	if t == nil || t.Guard == "" {
		return kind.New(kind.KeyUnknown, "the server that the ticket names isn't declared or listed any more")
	}
	var err *kind.Error
	for range keyOffers {
		var body *sentBody
		body, err = e.offer(ctx, w, v, x, x.ticket.sentTo(t))
		if err == nil {
			return nil
		}
		if err.Kind != kind.StaleAttempt || err.FromGuard || x.stream && body.begun.Load() {
			break
		}
	}
	if err.Kind == kind.StaleAttempt && err.FromGuard {
		return kind.New(kind.KeyUnknown, "the process that the ticket names is gone; whether it ran the request is not known")
	}
	return err
}

func (t *ticket) sentTo(target *pick.Target) sent {
	return sent{
		target: target, id: attempt.TicketID(t.ID),
		identity: pick.Identity{Incarnation: t.Incarnation, Tick: t.Tick},
	}
}
