/**
 * Clients of engines: the protocol-neutral interface between the router and an engine, and its
 * implementation for the OpenAI-compatible completions API.
 *
 * <p>Entry points: {@link larchridge.upstream.UpstreamClient} (implemented here by {@link
 * larchridge.upstream.CompletionsUpstreamClient}) and {@link larchridge.upstream.AttemptListener},
 * which the sender of an attempt implements. This package reports the outcome of attempts; it must
 * not depend on the router, the routing policy or the choice of an engine.
 */
package larchridge.upstream;
