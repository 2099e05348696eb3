package commander

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
)

// checkResult summarises a document without faults.
type checkResult struct {
	File        string                 `json:"file"`
	Environment identifier.Environment `json:"environment"`
	Digest      string                 `json:"digest"`
	Models      int                    `json:"models"`
	Engines     int                    `json:"engines"`
	Services    int                    `json:"services"`
	Classes     int                    `json:"classes"`
	Callers     int                    `json:"callers"`
}

func (c checkResult) writeText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s is valid: environment %s, %d models, %d engines, %d services, %d classes, %d callers\ndigest %s\n",
		c.File, c.Environment, c.Models, c.Engines, c.Services, c.Classes, c.Callers, c.Digest)
}

func checkCommand(p *printer) *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a document without a network", ArgsUsage: "FILE",
		Action: newAction(p, 1, nil, func(_ context.Context, command *cli.Command, s *session) error {
			file := command.Args().First()
			document, sections, err := readDocument(file)
			if err != nil {
				return err
			}
			s.printer.print(checkResult{
				File: file, Environment: document.Environment, Digest: sections.Digest(),
				Models: len(document.Models), Engines: len(document.Engines), Services: len(document.Services),
				Classes: len(document.Classes), Callers: len(document.Callers),
			})
			return nil
		}),
	}
}

// readDocument reads and validates a document, and splits it into sections.
func readDocument(file string) (*configurer.Document, configurer.Sections, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, &Failure{Exit: ExitUsage, Code: badSetting, Message: err.Error()}
	}
	document, err := configurer.Parse(file, text)
	if err != nil {
		return nil, nil, err
	}
	sections, err := document.Sections()
	if err != nil {
		return nil, nil, eris.Wrap(err, "commander: split document into sections")
	}
	return document, sections, nil
}
