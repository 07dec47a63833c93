package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

var errNoCommand = eris.New("a command is needed; see limpetdock --help")

// askTimeout bounds one question to a node.
const askTimeout = 5 * time.Second

type dumpCommand struct {
	command
	Args struct {
		Node string `positional-arg-name:"NODE" description:"admin address, IP:PORT" required:"true"`
	} `positional-args:"true" required:"true"`
}

func (c *dumpCommand) run(out io.Writer) error {
	text, err := ask(c.Args.Node, "/v1/dump")
	if err != nil {
		return err
	}
	var pretty bytes.Buffer
	if err := json.Indent(&pretty, text, "", "  "); err != nil {
		return eris.Errorf("%s didn't answer with JSON", c.Args.Node)
	}
	pretty.WriteByte('\n')
	_, err = pretty.WriteTo(out)
	return err
}

// ask reads a path of a node's administration API.
func ask(node, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+path, nil)
	if err != nil {
		return nil, eris.Errorf("%q is no IP:PORT", node)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Errorf("%s can't be asked: %v", node, err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, eris.Errorf("%s broke off its answer", node)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("%s answered %s", node, resp.Status)
	}
	return text, nil
}
