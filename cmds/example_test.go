package cmds

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardnotch/core/conf"
)

func TestExampleResourcesAreValid(t *testing.T) {
	for _, name := range []string{"voering", "birligi"} {
		file := "../docs/examples/" + name + "-resources.ini"
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		all, err := conf.ParseResources(file, data)
		require.NoError(t, err)
		require.Len(t, all, 8, "five customers, a model and two pools")
	}
}
