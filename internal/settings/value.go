package settings

import (
	"net"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

func nameSetter(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if !namePattern.MatchString(v) {
			return eris.Errorf("%q is no name", v)
		}
		*field(s) = v
		return nil
	}
}

func addressSetter(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if err := checkAddress(v); err != nil {
			return err
		}
		*field(s) = v
		return nil
	}
}

func checkAddress(v string) error {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		return eris.Errorf("%q is no IP:PORT", v)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return eris.Errorf("%q has no port from 0 to 65535", v)
	}
	return nil
}

func baseURLSetter(field func(*Settings) **url.URL) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		u, err := url.Parse(v)
		if err != nil || u.Scheme != "http" {
			return eris.Errorf("%q is no http URL", v)
		}
		if err := checkAddress(u.Host); err != nil {
			return err
		}
		*field(s) = u
		return nil
	}
}

const maxSeeds = 8

func setSeeds(s *Settings, v string) error {
	if strings.TrimSpace(v) == "" {
		return nil
	}
	list := strings.Split(v, ",")
	if len(list) > maxSeeds {
		return eris.Errorf("%d addresses", len(list))
	}
	for _, addr := range list {
		addr = strings.TrimSpace(addr)
		if err := checkAddress(addr); err != nil {
			return err
		}
		s.Seeds = append(s.Seeds, addr)
	}
	return nil
}

func setHealthPath(s *Settings, v string) error {
	if u, err := url.Parse(v); err != nil || !strings.HasPrefix(v, "/") || u.Path != v {
		return eris.Errorf("%q is no path", v)
	}
	s.Health = v
	return nil
}

func durationSetter(low, high time.Duration, field func(*Settings) *time.Duration) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < low || d > high {
			return eris.Errorf("%q is out of range", v)
		}
		*field(s) = d
		return nil
	}
}

const (
	minConnsPerIP = 16
	maxConnsPerIP = 100_000
)

func setConnsPerIP(s *Settings, v string) error {
	n, err := strconv.Atoi(v)
	if err != nil || n < minConnsPerIP || n > maxConnsPerIP {
		return eris.Errorf("%q is out of range", v)
	}
	s.ConnsPerIP = n
	return nil
}

func setLogLevel(s *Settings, v string) error {
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || n > 1 {
		return eris.Errorf("%q is no level", v)
	}
	s.LogLevel = n
	return nil
}
