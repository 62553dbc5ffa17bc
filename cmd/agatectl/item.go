package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"agateswitch/adapter/operatorclient"
	"agateswitch/core/configuration"
	"agateswitch/core/fleet"

	"github.com/spf13/cobra"
	"github.com/tailscale/hujson"
)

// itemKind describes a kind of configuration item that operators write as files.
type itemKind struct {
	kind configuration.Kind
	// nameField is the JSON field that holds the item's name.
	nameField string
	// example is the path of the file that the help texts show.
	example string
}

var (
	contractKind = itemKind{kind: configuration.KindContract, nameField: "team", example: "examples/hoofline/contracts/arima-yard.jsonc"}
	poolKind     = itemKind{kind: configuration.KindPool, nameField: "name", example: "examples/hoofline/pools/farrier-lm.jsonc"}
)

// itemCommand returns the command group for one kind of item.
func itemCommand(o *options, kind itemKind) *cobra.Command {
	command := &cobra.Command{Use: string(kind.kind), Short: fmt.Sprintf("Write and read %ss", kind.kind)}
	command.AddCommand(
		itemPut(o, kind), itemValidate(o, kind), itemDiff(o, kind),
		itemGet(o, kind), itemList(o, kind), itemDelete(o, kind),
	)
	return command
}

// readItem reads a file of JSON with comments. It returns the key of the item and its compact JSON.
func readItem(path string, kind itemKind) (configuration.Key, json.RawMessage, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return configuration.Key{}, nil, usageError{err}
	}
	value, err := hujson.Standardize(content)
	if err != nil {
		return configuration.Key{}, nil, usageError{fmt.Errorf("%s: %w", path, err)}
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, value); err != nil {
		return configuration.Key{}, nil, usageError{fmt.Errorf("%s: %w", path, err)}
	}
	var fields map[string]any
	if err := json.Unmarshal(compact.Bytes(), &fields); err != nil {
		return configuration.Key{}, nil, usageError{fmt.Errorf("%s: must be an object", path)}
	}
	name, _ := fields[kind.nameField].(string)
	if name == "" {
		return configuration.Key{}, nil, usageError{fmt.Errorf("%s: %s is missing", path, kind.nameField)}
	}
	return configuration.Key{Kind: kind.kind, Name: name}, compact.Bytes(), nil
}

func itemPut(o *options, kind itemKind) *cobra.Command {
	var expected int64
	var force bool
	wait := &waitOptions{}
	command := &cobra.Command{
		Use:     "put FILE",
		Short:   "Accept the value in a file, after showing what changes",
		Example: fmt.Sprintf("  agatectl %s put %s", kind.kind, kind.example),
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			key, value, err := readItem(args[0], kind)
			if err != nil {
				return err
			}
			changeOptions := operatorclient.ChangeOptions{}
			if command.Flags().Changed("expected") {
				revision := configuration.Revision(expected)
				changeOptions.Expected = &revision
			}
			client := o.client()
			current, err := currentItem(command.Context(), client, key)
			if err != nil {
				return err
			}
			if changeOptions.Expected == nil && !force {
				changeOptions.Expected = &current.Revision
			}
			accepted, err := client.Put(command.Context(), key, value, changeOptions)
			if err != nil {
				printConflict(command, current, err)
				return err
			}
			err = printResult(command, o, accepted, func() {
				printDiff(command.OutOrStdout(), accepted.Before, value)
				command.Printf("%s accepted at revision %d\n", key, accepted.Revision)
			})
			if err != nil {
				return err
			}
			return wait.waitInForce(command, client, accepted.Revision)
		},
	}
	command.Flags().Int64Var(&expected, "expected", 0, "refuse unless the item is at this revision; 0 means that it is new")
	command.Flags().BoolVar(&force, "force", false, "accept whatever revision the item has")
	wait.addFlags(command)
	return command
}

// currentItem returns the item in force. An item that does not exist has revision 0.
func currentItem(ctx context.Context, client *operatorclient.Client, key configuration.Key) (configuration.Item, error) {
	item, err := client.Get(ctx, key)
	var refused *operatorclient.FailureError
	if errors.As(err, &refused) && refused.Code == fleet.CodeNotFound {
		return configuration.Item{}, nil
	}
	return item, err
}

// printConflict prints what another operator changed since previous was read.
func printConflict(command *cobra.Command, previous configuration.Item, err error) {
	var refused *operatorclient.FailureError
	if !errors.As(err, &refused) || refused.Found == nil {
		return
	}
	command.PrintErrln("changed meanwhile by another operator:")
	printDiff(command.ErrOrStderr(), &previous, refused.Found.Value)
}

func itemValidate(o *options, kind itemKind) *cobra.Command {
	return &cobra.Command{
		Use:     "validate FILE",
		Short:   "Check the value in a file against the configuration in force",
		Example: fmt.Sprintf("  agatectl %s validate %s", kind.kind, kind.example),
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return dryRun(command, o, kind, args[0], func(key configuration.Key, _ *configuration.Item, _ json.RawMessage) {
				command.Printf("%s: valid\n", key)
			})
		},
	}
}

func itemDiff(o *options, kind itemKind) *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Show what accepting the value in a file would change",
		Example: fmt.Sprintf("  agatectl %s diff %s", kind.kind, kind.example),
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return dryRun(command, o, kind, args[0], func(_ configuration.Key, before *configuration.Item, value json.RawMessage) {
				printDiff(command.OutOrStdout(), before, value)
			})
		},
	}
}

// dryRun has the router validate the value in a file without accepting it, and prints the result.
func dryRun(command *cobra.Command, o *options, kind itemKind, path string,
	print func(configuration.Key, *configuration.Item, json.RawMessage)) error {
	key, value, err := readItem(path, kind)
	if err != nil {
		return err
	}
	answer, err := o.client().Put(command.Context(), key, value, operatorclient.ChangeOptions{DryRun: true})
	if err != nil {
		return err
	}
	return printResult(command, o, answer, func() { print(key, answer.Before, value) })
}

func itemGet(o *options, kind itemKind) *cobra.Command {
	return &cobra.Command{
		Use:     "get NAME",
		Short:   "Print the value in force",
		Example: fmt.Sprintf("  agatectl %s get NAME -o json", kind.kind),
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			item, err := o.client().Get(command.Context(), configuration.Key{Kind: kind.kind, Name: args[0]})
			if err != nil {
				return err
			}
			return printResult(command, o, item, func() {
				command.Printf("// revision %d\n%s\n", item.Revision, indent(item.Value))
			})
		},
	}
}

func itemList(o *options, kind itemKind) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the names in force",
		Example: fmt.Sprintf("  agatectl %s list", kind.kind),
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			list, err := o.client().List(command.Context(), kind.kind)
			if err != nil {
				return err
			}
			return printResult(command, o, list, func() {
				for _, item := range list.Items {
					command.Printf("%s\trevision %d\n", item.Key.Name, item.Revision)
				}
			})
		},
	}
}

func itemDelete(o *options, kind itemKind) *cobra.Command {
	wait := &waitOptions{}
	command := &cobra.Command{
		Use:     "delete NAME",
		Short:   "Remove the value in force",
		Example: fmt.Sprintf("  agatectl %s delete NAME", kind.kind),
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			key := configuration.Key{Kind: kind.kind, Name: args[0]}
			client := o.client()
			accepted, err := client.Delete(command.Context(), key, operatorclient.ChangeOptions{})
			if err != nil {
				return err
			}
			err = printResult(command, o, accepted, func() {
				command.Printf("%s deleted at revision %d\n", key, accepted.Revision)
			})
			if err != nil {
				return err
			}
			return wait.waitInForce(command, client, accepted.Revision)
		},
	}
	wait.addFlags(command)
	return command
}
