package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/urfave/cli/v3"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/fault"
)

// patchExample describes the patch format in the help.
const patchExample = `A patch names the configuration version it is based on:
  {"base": 7, "author": "op-anna", "changes": [
    {"setOrganisation": {"name": "skimworks", "guarantee": {"gulf-a": {"rack": 1, "four": 2}}}},
    {"removeOrganisation": "old-mill"},
    {"setClass": {"name": "routePlan", "urgent": true, "priority": 10}},
    {"setPolicy": {"completionWeight": 3, "fragmentationWeight": 1, "gangAge": 60000}}]}
Set exactly one field per change. FILE may be - for standard input.

`

// configCommand returns the command `limpetrelay config`.
func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "show and patch the versioned configuration",
		Commands: []*cli.Command{
			{
				Name: "show", Usage: "show the configuration in force", Flags: []cli.Flag{hostFlag(), outputFlag()},
				Action: clientAction(configShow),
			},
			{
				Name: "history", Usage: "list all versions with author and changes", Flags: []cli.Flag{hostFlag(), outputFlag()},
				Action: clientAction(configHistory),
			},
			{
				Name: "diff", Usage: "show what a patch would change", ArgsUsage: "FILE",
				Description: patchExample + exitCodeHelp, Flags: []cli.Flag{hostFlag(), outputFlag()},
				Action: clientAction(configDiff),
			},
			{
				Name: "patch", Usage: "submit a patch", ArgsUsage: "FILE", Description: patchExample + exitCodeHelp,
				Flags:  []cli.Flag{hostFlag(), outputFlag(), &cli.BoolFlag{Name: "dry-run", Usage: "validate the patch without applying it"}},
				Action: clientAction(configPatch),
			},
		},
	}
}

// configShow runs `limpetrelay config show`.
func configShow(ctx context.Context, c *cli.Command, cl *client) error {
	var cfg config.Config
	if err := cl.call(ctx, http.MethodGet, "/v1/config", nil, &cfg, 0); err != nil {
		return err
	}
	return writeOutput(c, cfg, func(w io.Writer) { printConfig(w, &cfg) })
}

// printConfig writes a configuration as text.
func printConfig(w io.Writer, cfg *config.Config) {
	_, _ = fmt.Fprintf(w, "version %d\n", cfg.Version)
	for _, n := range cfg.OrganisationNames() {
		_, _ = fmt.Fprintf(w, "organisation %s\n", n)
		for dc, s := range cfg.Organisations[n].Guarantee {
			_, _ = fmt.Fprintf(w, "  guaranteed in %s: %s\n", dc, s)
		}
	}
	for n, cl := range cfg.Classes {
		_, _ = fmt.Fprintf(w, "class %s: urgent %t, priority %d\n", n, cl.Urgent, cl.Priority)
	}
	for dc, cl := range cfg.Closed {
		_, _ = fmt.Fprintf(w, "data centre %s: closed, lost %t\n", dc, cl.Lost)
	}
	_, _ = fmt.Fprintf(w, "policy: completion %g, fragmentation %g, gang age %s\n", cfg.Policy.CompletionWeight,
		cfg.Policy.FragmentationWeight, time.Duration(max(cfg.Policy.GangAgeLimit, 0))*time.Millisecond)
}

// historyResponse is the response of GET /v1/config/history.
type historyResponse struct {
	Versions []struct {
		Version uint64       `json:"version"`
		Patch   config.Patch `json:"patch"`
		Host    string       `json:"host"`
		At      int64        `json:"at"`
		Offset  uint64       `json:"offset"`
	} `json:"versions"`
}

// configHistory runs `limpetrelay config history`.
func configHistory(ctx context.Context, c *cli.Command, cl *client) error {
	var h historyResponse
	if err := cl.call(ctx, http.MethodGet, "/v1/config/history", nil, &h, 0); err != nil {
		return err
	}
	return writeOutput(c, h, func(w io.Writer) {
		for i := range h.Versions {
			v := &h.Versions[i]
			b, _ := json.Marshal(v.Patch.Changes)
			_, _ = fmt.Fprintf(w, "%d  %s  %s at %s  %s\n", v.Version,
				time.UnixMilli(v.At).UTC().Format(time.RFC3339), v.Patch.Author, v.Host, b)
		}
	})
}

// readPatch reads a patch from the file named by the only argument, or from
// standard input for "-".
func readPatch(c *cli.Command) (*config.Patch, error) {
	file, err := singleArgument(c, "a file (or - for standard input)")
	if err != nil {
		return nil, err
	}
	if file == "-" {
		return config.ParsePatch(c.Root().Reader)
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, fault.Newf(fault.Invalid, "give the path of a readable file", "cannot read the patch: %v", err)
	}
	defer func() { _ = f.Close() }()
	return config.ParsePatch(f)
}

// sendPatch submits a patch. With dryRun the host only validates it and returns
// the configuration that it would yield.
func (cl *client) sendPatch(ctx context.Context, p *config.Patch, dryRun bool) (patchResponse, error) {
	path := "/v1/config/patches"
	if dryRun {
		path += "?dryRun=true"
	}
	var a patchResponse
	err := cl.call(ctx, http.MethodPost, path, p, &a, 0)
	return a, err
}

// configPatch runs `limpetrelay config patch`.
func configPatch(ctx context.Context, c *cli.Command, cl *client) error {
	p, err := readPatch(c)
	if err != nil {
		return err
	}
	a, err := cl.sendPatch(ctx, p, c.Bool("dry-run"))
	if err != nil {
		return err
	}
	return writeOutput(c, a, func(w io.Writer) {
		if c.Bool("dry-run") {
			_, _ = fmt.Fprintf(w, "it would yield version %d\n", a.Version)
			return
		}
		_, _ = fmt.Fprintf(w, "accepted as version %d\n", a.Version)
	})
}

// configDiff runs `limpetrelay config diff`.
func configDiff(ctx context.Context, c *cli.Command, cl *client) error {
	p, err := readPatch(c)
	if err != nil {
		return err
	}
	var current config.Config
	if err := cl.call(ctx, http.MethodGet, "/v1/config", nil, &current, 0); err != nil {
		return err
	}
	a, err := cl.sendPatch(ctx, p, true)
	if err != nil {
		return err
	}
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(indentJSON(current)), B: difflib.SplitLines(indentJSON(a.Config)),
		FromFile: fmt.Sprintf("version %d", current.Version), ToFile: fmt.Sprintf("version %d", a.Version), Context: 2,
	})
	if err != nil {
		return fault.Newf(fault.Internal, "report this defect", "cannot compare the configurations: %v", err)
	}
	return writeOutput(c, a, func(w io.Writer) { _, _ = io.WriteString(w, text) })
}

// indentJSON returns v as indented JSON, or an empty string when v cannot be
// encoded.
func indentJSON(v any) string {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return ""
	}
	return string(b) + "\n"
}
