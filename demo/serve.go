package demo

import (
	"context"
	"fmt"
	"strings"
)

// Serve starts the system with the example configuration, prints its addresses
// and keeps it running until the context ends. The output is valid shell code.
func Serve(ctx context.Context, s Settings) error {
	c, err := newCluster(s.Bin, s.Work)
	if err != nil {
		return err
	}
	defer c.close()
	if err := c.publish(); err != nil {
		return err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.waitUntilReady(readyCtx, partitions); err != nil {
		return err
	}
	var callers, operations []string
	for _, i := range c.instances {
		callers = append(callers, i.Callers)
		operations = append(operations, i.Operations)
		fmt.Fprintf(s.Out, "# %s in %s: process %d, log %s/%s.log\n", i.ID, i.DataCentre, i.process.cmd.Process.Pid, s.Work, i.ID)
	}
	fmt.Fprintf(s.Out, "export LACEWINGFORK_LOG=http://%s\n", c.platform)
	fmt.Fprintf(s.Out, "export LACEWINGFORK_OPERATIONS=%s\n", strings.Join(operations, ","))
	fmt.Fprintf(s.Out, "export LACEWINGFORK_CALLERS=%s\n", strings.Join(callers, ","))
	fmt.Fprintf(s.Out, "# the published configuration is %s/asante.toml; ends with Ctrl-C\n", s.Work)
	<-ctx.Done()
	return nil
}
