/**
 * A model of a serving engine: batching, memory blocks, transfers. Without clock, threads or
 * sockets.
 *
 * <p>{@link larchridge.emulator.EngineModel} is the entry; whoever drives it passes the time in. It
 * knows no other package.
 */
package larchridge.emulator;
