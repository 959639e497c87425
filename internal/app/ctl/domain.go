package ctl

import (
	"context"

	"github.com/balsamhitch/balsamhitch/internal/core/config"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// TakeDomainOut takes a failure domain out of service.
func (c *Client) TakeDomainOut(ctx context.Context, domain model.FailureDomain) error {
	report, err := c.change(ctx, planSingle(config.DomainOut(domain)))
	return c.print(report, err)
}

// ReturnDomain returns a failure domain to service.
func (c *Client) ReturnDomain(ctx context.Context, domain model.FailureDomain) error {
	report, err := c.change(ctx, planSingle(config.DomainBack(domain)))
	return c.print(report, err)
}

// domainLine is one listed failure domain.
type domainLine struct {
	FailureDomain model.FailureDomain `json:"failure_domain"`
	Out           bool                `json:"out"`
	Revision      uint64              `json:"revision,omitempty"` // of the change that took it out of service
}

// ListDomains prints the failure domains of the VM list and those that are
// out of service.
func (c *Client) ListDomains(ctx context.Context) error {
	fold, err := c.load(ctx)
	if err != nil {
		return err
	}
	vms, err := c.VMList.List(ctx)
	if err != nil {
		return Failure.New("the VM list cannot be read: %w", err)
	}
	lines := []domainLine{}
	seen := map[model.FailureDomain]bool{}
	for _, d := range fold.Snapshot().DomainsOut() {
		lines = append(lines, domainLine{FailureDomain: d.FailureDomain, Out: true, Revision: d.Revision})
		seen[d.FailureDomain] = true
	}
	for _, vm := range vms {
		if !seen[vm.FailureDomain] {
			lines = append(lines, domainLine{FailureDomain: vm.FailureDomain})
			seen[vm.FailureDomain] = true
		}
	}
	return c.printDomains(lines)
}

func (c *Client) printDomains(lines []domainLine) error {
	if c.JSON {
		return c.printJSON(lines)
	}
	rows := [][]string{{"FAILURE DOMAIN", "STATE", "SINCE REVISION"}}
	for _, l := range lines {
		state, since := "in service", ""
		if l.Out {
			state, since = "out", formatUint(l.Revision)
		}
		rows = append(rows, []string{string(l.FailureDomain), state, since})
	}
	return c.printTable(rows)
}
