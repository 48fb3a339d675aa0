/**
 * The command line: one class per command.
 *
 * <p>{@link larchridge.cli.Main} is the entry point. Commands parse options and call other
 * packages; they contain no logic of their own.
 */
package larchridge.cli;
