package deploy

import (
	"fmt"
	"os/exec"
	"path/filepath"
)

// module is the import path of this repository.
const module = "github.com/limpetdock/limpetdock"

// Build compiles every program of a deployment into dir, for tests.
func Build(dir string) error {
	programs := map[string]string{
		"limpetdockd": "cmd/limpetdockd", "limpetdock": "cmd/limpetdock",
		"standin-platform": "standin/platform", "standin-backend": "standin/backend", "standin-relay": "standin/relay",
	}
	for name, pkg := range programs {
		cmd := exec.Command("go", "build", "-o", filepath.Join(dir, name), module+"/"+pkg)
		if out, err := cmd.CombinedOutput(); err != nil {
			return fmt.Errorf("build %s: %w\n%s", name, err, out)
		}
	}
	return nil
}
