/**
 * Counts the tokens of prompts: vocabularies, a cache of counts, and whether counting is worth its
 * time.
 *
 * <p>{@link larchridge.tokens.TokenCounters} is the entry. It knows nothing of requests or routing.
 */
package larchridge.tokens;
