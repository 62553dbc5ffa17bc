package main

import (
	"fmt"
	"time"

	"agateswitch/adapter/operatorhttp"
	"agateswitch/core/fleet"
	"agateswitch/core/rollout"
	"agateswitch/node/moves"

	"github.com/spf13/cobra"
)

func versionCommand(o *options) *cobra.Command {
	command := &cobra.Command{Use: "version", Short: "Move a pool's traffic to another version, or take it back"}
	command.AddCommand(versionMove(o), versionStatus(o), versionRollback(o))
	return command
}

func versionMove(o *options) *cobra.Command {
	var by string
	var dryRun, wait bool
	command := &cobra.Command{
		Use:   "move POOL VERSION --by TIME",
		Short: "Move traffic to a version by a time, or take it back if the version is bad",
		Long: "Move traffic to a version by a time, or take it back if the version is bad.\n\n" +
			"TIME is a time of RFC 3339, such as 2026-12-03T18:00:00Z, or a duration from now, such as 45m.",
		Example: "  agatectl version move farrier-lm 2 --by 45m --dry-run\n  agatectl version move farrier-lm 2 --by 2026-12-03T18:00:00Z --wait",
		Args:    cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			deadline, err := parseDeadline(by, time.Now())
			if err != nil {
				return usageError{err}
			}
			pool := fleet.PoolID(args[0])
			order := operatorhttp.MoveOrder{Version: fleet.Version(args[1]), By: deadline}
			if dryRun {
				proposal, err := o.client().ProposeMove(command.Context(), pool, order)
				if err != nil {
					return err
				}
				return printResult(command, o, proposal, func() { printProposal(command, proposal) })
			}
			move, err := o.client().BeginMove(command.Context(), pool, order)
			if err != nil {
				return err
			}
			if !wait {
				return printResult(command, o, move, func() {
					command.Printf("move %s of %s from version %s to %s begun\n", move.ID, move.Pool, move.From, move.To)
					printSteps(command, move.Plan)
				})
			}
			return waitForMove(command, o, move)
		},
	}
	command.Flags().StringVar(&by, "by", "", "time by which all traffic has to be on the version")
	command.Flags().BoolVar(&dryRun, "dry-run", false, "show the steps without beginning")
	command.Flags().BoolVar(&wait, "wait", false, "wait until the move is done or rolled back; fails when it is rolled back")
	command.MarkFlagRequired("by")
	return command
}

// parseDeadline parses a time of RFC 3339 or a duration from now.
func parseDeadline(text string, now time.Time) (time.Time, error) {
	if length, err := time.ParseDuration(text); err == nil {
		return now.Add(length), nil
	}
	deadline, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("--by %q is neither a time of RFC 3339 nor a duration", text)
	}
	return deadline, nil
}

// waitForMove waits until the move is done or rolled back, prints its status, and returns an error
// if it was rolled back.
func waitForMove(command *cobra.Command, o *options, move rollout.Move) error {
	status, err := o.client().WaitForMove(command.Context(), move)
	if err != nil {
		return err
	}
	if err := printResult(command, o, status, func() { printStatus(command, status) }); err != nil {
		return err
	}
	if status.Move.Status != rollout.StatusDone {
		return fmt.Errorf("the move was rolled back: %s", status.Move.Reason)
	}
	return nil
}

func versionStatus(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "status POOL",
		Short:   "Show the steps, evidence and history of the last move",
		Example: "  agatectl version status farrier-lm",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			status, err := o.client().MoveStatus(command.Context(), fleet.PoolID(args[0]))
			if err != nil {
				return err
			}
			return printResult(command, o, status, func() { printStatus(command, status) })
		},
	}
}

func versionRollback(o *options) *cobra.Command {
	var reason string
	command := &cobra.Command{
		Use:     "back POOL",
		Short:   "Take the running move back; this needs no key-value service",
		Example: `  agatectl version back farrier-lm --reason "answers in the wrong language"`,
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			move, err := o.client().RollBack(command.Context(), fleet.PoolID(args[0]), reason)
			if err != nil {
				return err
			}
			return printResult(command, o, move, func() {
				command.Printf("move %s of %s rolled back to version %s\n", move.ID, move.Pool, move.From)
			})
		},
	}
	command.Flags().StringVar(&reason, "reason", "no reason given", "reason for the history")
	return command
}

func printProposal(command *cobra.Command, proposal moves.Proposal) {
	command.Printf("%s from version %s to %s by %s at %.2f requests a second: at least %s\n", proposal.Pool, proposal.From,
		proposal.To, proposal.By.UTC().Format(time.RFC3339), proposal.Plan.Rate, proposal.Plan.Needed.Round(time.Second))
	printSteps(command, proposal.Plan.Steps)
	if proposal.Plan.Impossible != "" {
		command.Println("cannot be met:", proposal.Plan.Impossible)
	}
}

func printSteps(command *cobra.Command, steps []rollout.Step) {
	for i, step := range steps {
		command.Printf("  step %d: %g%% of chats for at least %s and %d requests of the new version, about %s\n",
			i+1, step.Share*100, step.Time.Round(time.Second), step.Requests, step.Expected.Round(time.Second))
	}
}

func printStatus(command *cobra.Command, status moves.MoveStatus) {
	move := status.Move
	command.Printf("%s from version %s to %s: %s, %g%% of chats, %s\n", move.Pool, move.From, move.To, move.Status, status.Share*100, move.Reason)
	if move.Status == rollout.StatusRunning {
		command.Printf("step %d of %d, %d requests of evidence, waits: %s\n", move.Step+1, len(move.Plan), status.Requests, status.Waiting)
		command.Printf("time left: %s; leader: %s\n", time.Until(move.Deadline).Round(time.Second), status.Leader)
	}
	if !status.Stored {
		command.Println("not in the key-value service yet; the routers hold it among themselves")
	}
	for _, entry := range move.History {
		command.Printf("  %s  %s  %g%%  %s\n", entry.At.UTC().Format(time.RFC3339), entry.Status, entry.Share*100, entry.Reason)
	}
}
