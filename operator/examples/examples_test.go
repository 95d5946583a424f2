package examples

import (
	"testing"

	"github.com/cockroachdb/datadriven"

	"lacewingfork.example/lacewingfork/operator"
)

// Guards against examples that no longer pass the checks, and against a change
// of the printed format that nobody noticed.
func TestExamplesPrint(t *testing.T) {
	deployments := map[string]operator.Configuration{"asante": Asante(), "camara": Camara()}
	datadriven.RunTest(t, "testdata/printed", func(t *testing.T, d *datadriven.TestData) string {
		text, err := operator.Text(deployments[d.CmdArgs[0].Key])
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	})
}
