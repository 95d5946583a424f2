package examples

import (
	"testing"

	"github.com/cockroachdb/datadriven"

	"lacewingfork.example/lacewingfork/operator"
)

// Guards against examples that fail the checks, and against an unintended change
// of the printed format.
func TestExamplesPrint(t *testing.T) {
	examples := map[string]operator.Configuration{"asante": Asante(), "camara": Camara()}
	datadriven.RunTest(t, "testdata/printed", func(t *testing.T, d *datadriven.TestData) string {
		text, err := operator.Text(examples[d.CmdArgs[0].Key])
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	})
}
