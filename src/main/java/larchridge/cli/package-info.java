/**
 * The command line: one class a command.
 *
 * <p>{@link larchridge.cli.Main} is the entry. Commands read options and call other packages; they
 * hold no logic of their own.
 */
package larchridge.cli;
