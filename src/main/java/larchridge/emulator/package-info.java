/**
 * A model of a serving engine: batching, memory blocks and state transfers, without clock, threads
 * or sockets.
 *
 * <p>The entry point is {@link larchridge.emulator.EngineModel}; its caller passes in the time. The
 * package depends on no other package of the program.
 */
package larchridge.emulator;
