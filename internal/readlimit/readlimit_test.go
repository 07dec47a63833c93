package readlimit_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/readlimit"
)

// Guards against a head without end that is read on and on, also if a part of it was in the buffer before.
func TestHeadIsBounded(t *testing.T) {
	const limit = 1000
	line := func(r *bufio.Reader) error {
		_, err := r.ReadString('\n')
		return err
	}
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"at the limit":           {strings.Repeat("a", limit-1) + "\n", nil},
		"one byte more":          {strings.Repeat("a", limit) + "\n", readlimit.ErrHeadTooLarge},
		"without end":            {strings.Repeat("a", 100*limit), readlimit.ErrHeadTooLarge},
		"cut off":                {"aaa", io.EOF},
		"larger than the buffer": {strings.Repeat("a", 10*limit) + "\n", readlimit.ErrHeadTooLarge},
	} {
		for _, buffer := range []int{16, 4096} {
			r := readlimit.NewReader(strings.NewReader("first\n"+c.text), buffer)
			require.NoError(t, r.Head(limit, line), name)
			require.ErrorIs(t, r.Head(limit, line), c.want, "%s, buffer of %d", name, buffer)
		}
	}
}

// Guards against bodies that together take more memory than allowed, and against small ones that are given up
// for it.
func TestBodiesTogetherAreBounded(t *testing.T) {
	const mb = 1 << 20
	b := readlimit.NewBudget(4 * mb)
	body := func(size int) io.Reader { return bytes.NewReader(make([]byte, size)) }
	first, releaseFirst, err := b.ReadAll(body(3*mb), 3*mb, 10*mb)
	require.NoError(t, err)
	require.Len(t, first, 3*mb)
	for name, declared := range map[string]int64{"known length": 2 * mb, "unknown length": -1} {
		_, release, err := b.ReadAll(body(2*mb), declared, 10*mb)
		release()
		require.ErrorIs(t, err, readlimit.ErrNoRoom, name)
		small, release, err := b.ReadAll(body(200<<10), min(declared, 200<<10), 10*mb)
		release()
		require.NoError(t, err, name)
		require.Len(t, small, 200<<10)
	}
	releaseFirst()
	// A body without others has room up to its own limit.
	_, release, err := b.ReadAll(body(9*mb), -1, 10*mb)
	release()
	require.NoError(t, err)
	require.Zero(t, b.Held())
}

// Guards against a body that is cut off and taken for a complete one, and against one without end.
func TestBodyIsReadCompletelyOrNotAtAll(t *testing.T) {
	errCut := errors.New("cut off")
	for name, c := range map[string]struct {
		body     io.Reader
		declared int64
		want     error
		size     int
	}{
		"empty":                          {strings.NewReader(""), -1, nil, 0},
		"no length":                      {strings.NewReader(strings.Repeat("a", 9000)), -1, nil, 9000},
		"byte by byte":                   {iotest.OneByteReader(strings.NewReader("aaaa")), -1, nil, 4},
		"at the limit":                   {strings.NewReader(strings.Repeat("a", 10000)), -1, nil, 10000},
		"declared and a length of 0":     {strings.NewReader(""), 0, nil, 0},
		"declared":                       {strings.NewReader("aaaa"), 4, nil, 4},
		"one byte more":                  {strings.NewReader(strings.Repeat("a", 10001)), -1, readlimit.ErrBodyTooLarge, 0},
		"declared too large, never read": {iotest.ErrReader(errCut), 10001, readlimit.ErrBodyTooLarge, 0},
		"shorter than declared":          {strings.NewReader("aa"), 4, io.ErrUnexpectedEOF, 0},
		"cut off after the first chunk":  {io.MultiReader(strings.NewReader(strings.Repeat("a", 5000)), iotest.ErrReader(errCut)), -1, errCut, 0},
		"cut off with an unexpected end": {io.MultiReader(strings.NewReader("a"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, io.ErrUnexpectedEOF, 0},
	} {
		b := readlimit.NewBudget(1 << 20)
		data, release, err := b.ReadAll(c.body, c.declared, 10000)
		release()
		require.ErrorIs(t, err, c.want, name)
		require.Len(t, data, c.size, name)
	}
}
