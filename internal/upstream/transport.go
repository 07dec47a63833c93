package upstream

import "net/http"

// Transport is an http.Transport that fails on answers that aren't valid.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Validate(resp); err != nil {
		// Closes the connection, unless the body is complete.
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
