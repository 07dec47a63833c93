package upstream

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// errInvalid means that an answer isn't valid HTTP. Nothing that it states may be believed.
var errInvalid = eris.New("the answer isn't valid HTTP")

// Validate returns an error if the head of an answer isn't valid. If the trailer isn't, the end of the body is replaced
// by an error. net/http accepts any number as a status, and blanks in names.
func Validate(resp *http.Response) error {
	// A request that asks for no other protocol can't be answered by switching to one.
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > 599 || resp.StatusCode == http.StatusSwitchingProtocols {
		return eris.Wrapf(errInvalid, "status %03d", resp.StatusCode)
	}
	if err := validateFields(resp.Header); err != nil {
		return err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &validatedBody{resp.Body, resp}
	}
	return nil
}

func validateFields(fields http.Header) error {
	for name, values := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Wrapf(errInvalid, "field name %q", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return eris.Wrapf(errInvalid, "value of field %s", name)
			}
		}
	}
	return nil
}

// validatedBody is a body with a trailer.
type validatedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *validatedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if invalid := validateFields(b.resp.Trailer); invalid != nil {
			err = invalid
		}
	}
	return n, err
}
