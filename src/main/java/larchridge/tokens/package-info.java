/**
 * Counts the tokens of prompts: vocabularies, a cache of counts, and the decision whether counting
 * is worth the time it takes.
 *
 * <p>Entry point: {@link larchridge.tokens.CountingResources}. This package must not know requests
 * or routing.
 */
package larchridge.tokens;
