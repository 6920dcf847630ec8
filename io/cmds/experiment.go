package cmds

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"apricotproxy/exper"
	"apricotproxy/exper/chaos"
)

// ExperimentCommand measures the decision code against small fake engines in
// virtual time. The same seeds give the same results.
type ExperimentCommand struct {
	Study    string        `default:"policies" help:"Comparison to run: policies, roles, herding or cold; or faults, which runs simulated fleets of hosts through random faults and counts requests above the endpoints' limits."`
	Length   time.Duration `default:"240s" help:"Virtual time of a run; the first third is not measured."`
	Seeds    uint64        `default:"2" help:"Number of seeds to run; each row merges the runs of all seeds, except that faults has a row per seed."`
	Workers  int           `default:"4" help:"Most runs in parallel."`
	JSON     string        `help:"File to write the results to as JSON." type:"path"`
	PlotPath string        `help:"Directory to write SVG plots of the results against the load to." type:"path"`
}

// Run performs the study's runs and prints a table of the results.
func (c *ExperimentCommand) Run(console *Console) error {
	if c.Study == _studyFaults {
		return c.runFaults(console)
	}
	study, err := exper.NewStudy(c.Study, c.Length, c.Seeds)
	if err != nil {
		return fmt.Errorf("prepare the experiment: %w", err)
	}
	results := study.Run(c.Workers)
	if err := exper.WriteTable(console.Out, results); err != nil {
		return fmt.Errorf("print the results: %w", err)
	}
	if err := c.writeJSON(results); err != nil {
		return err
	}
	if c.PlotPath == "" {
		return nil
	}
	if err := os.MkdirAll(c.PlotPath, 0o755); err != nil {
		return fmt.Errorf("make the plot directory: %w", err)
	}
	if err := exper.Plot(c.PlotPath, results); err != nil {
		return fmt.Errorf("plot the results: %w", err)
	}
	return nil
}

// _studyFaults is the study that searches for broken promises; the others compare
// policies.
const _studyFaults = "faults"

// runFaults runs a fleet for each seed and reports a broken promise as a fault.
func (c *ExperimentCommand) runFaults(console *Console) error {
	results := chaos.RunSeeds(c.Seeds, c.Length)
	if err := chaos.WriteTable(console.Out, results); err != nil {
		return fmt.Errorf("print the results: %w", err)
	}
	if broken, ok := chaos.FirstViolation(results); ok {
		return withFaultCode(fmt.Errorf("seed %d: %s", broken.Seed, broken.Violation))
	}
	return nil
}

func (c *ExperimentCommand) writeJSON(results []*exper.Result) error {
	if c.JSON == "" {
		return nil
	}
	file, err := os.Create(filepath.Clean(c.JSON))
	if err != nil {
		return fmt.Errorf("create the results file: %w", err)
	}
	if err := exper.WriteJSON(file, results); err != nil {
		return fmt.Errorf("write %s: %w", c.JSON, err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("close %s: %w", c.JSON, err)
	}
	return nil
}
