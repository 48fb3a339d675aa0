/**
 * How attempts reach engines: the protocol-neutral contract between the router and an engine, and
 * its implementation over the OpenAI-compatible completions API.
 *
 * <p>Entry points: {@link larchridge.upstream.UpstreamClient} (implemented here by {@link
 * larchridge.upstream.CompletionsUpstreamClient}) and {@link larchridge.upstream.AttemptListener},
 * which the caller of an attempt implements. This package reports what happened to an attempt; it
 * must not know the router, the routing policy or why an engine was chosen.
 */
package larchridge.upstream;
