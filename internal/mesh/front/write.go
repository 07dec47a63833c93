package front

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/limpetdock/limpetdock/internal/headers"
)

// endToEnd removes the headers of the connection from those of a request.
func endToEnd(h http.Header) http.Header {
	headers.StripHopByHop(h)
	for _, name := range []string{"Content-Length", "Expect"} {
		h.Del(name)
	}
	return h
}

// bodiless reports whether an answer has no body because of its status or method (RFC
// 9110, section 6.4.1).
func bodiless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// writeResponse writes an answer. Its Content-Length is the counted length, so that
// the caller detects a truncated answer.
func writeResponse(w *bufio.Writer, method string, r *Response, last bool, idle time.Duration) error {
	h := r.Header
	length := h.Get("Content-Length")
	headers.StripHopByHop(h)
	h.Del("Content-Length")
	switch {
	case last:
		h.Set("Connection", "close")
	case idle >= time.Second:
		h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(idle/time.Second)))
	}
	switch {
	case !bodiless(method, r.Status):
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	case method == http.MethodHead && length != "":
		h.Set("Content-Length", length)
	}
	var head strings.Builder
	head.WriteString("HTTP/1.1 " + strconv.Itoa(r.Status) + " " + http.StatusText(r.Status) + "\r\n")
	if err := h.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	if _, err := w.WriteString(head.String()); err != nil {
		return err
	}
	if bodiless(method, r.Status) {
		return nil
	}
	_, err := w.Write(r.Body)
	return err
}
