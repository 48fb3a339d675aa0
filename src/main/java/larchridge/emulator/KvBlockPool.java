package larchridge.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An engine's KV memory in blocks, with a prefix cache. Full blocks of prompts are cached by their
 * prefix hash and shared, with a reference count, by all prompts with that prefix. A cached block
 * without references stays until memory is needed; the least recently used one is evicted first.
 */
final class KvBlockPool {
    /** One block; its hash is 0 while it is not in the prefix cache. */
    static final class Block {
        long hash;
        int refCount;
    }

    private final int totalBlocks;
    private int freeBlocks;
    private final Map<Long, Block> cachedBlocks = new HashMap<>();

    /** Cached blocks without references by hash, least recently used first. */
    private final LinkedHashMap<Long, Block> unreferenced = new LinkedHashMap<>();

    private long evictions;

    KvBlockPool(int totalBlocks) {
        this.totalBlocks = totalBlocks;
        freeBlocks = totalBlocks;
    }

    /** Number of blocks at the start of a prompt that are cached. */
    int countCachedBlocks(Prompt prompt) {
        int cached = 0;
        while (cached < prompt.blockHashes.length
                && cachedBlocks.containsKey(prompt.blockHashes[cached])) {
            cached++;
        }
        return cached;
    }

    /**
     * Allocates blocks for a prompt, starting with its cached ones; returns null and allocates
     * nothing if there is not enough memory.
     *
     * @param cached the number of cached blocks at the start of the prompt
     * @param blockCount the number of blocks to allocate, including the cached ones
     */
    List<Block> allocate(Prompt prompt, int cached, int blockCount) {
        int unreferencedCached = 0;
        for (int i = 0; i < cached; i++) {
            unreferencedCached += cachedBlocks.get(prompt.blockHashes[i]).refCount == 0 ? 1 : 0;
        }
        if (freeBlocks + unreferenced.size() - unreferencedCached < blockCount - cached) {
            return null;
        }
        List<Block> allocated = new ArrayList<>(blockCount + 8);
        for (int i = 0; i < cached; i++) {
            Block block = cachedBlocks.get(prompt.blockHashes[i]);
            if (block.refCount++ == 0) {
                unreferenced.remove(block.hash);
            }
            allocated.add(block);
        }
        while (allocated.size() < blockCount) {
            allocated.add(newBlock());
        }
        return allocated;
    }

    /** Allocates one block; returns null if there is no memory. */
    Block allocateBlock() {
        return freeBlocks + unreferenced.size() == 0 ? null : newBlock();
    }

    private Block newBlock() {
        if (freeBlocks == 0) {
            Iterator<Block> oldest = unreferenced.values().iterator();
            Block victim = oldest.next();
            oldest.remove();
            cachedBlocks.remove(victim.hash);
            freeBlocks++;
            evictions++;
        }
        freeBlocks--;
        Block block = new Block();
        block.refCount = 1;
        return block;
    }

    /** Adds the filled blocks {@code from} to {@code to} (exclusive) of a prompt to the cache. */
    void cacheFilledBlocks(Prompt prompt, List<Block> blocks, int from, int to) {
        for (int i = from; i < Math.min(to, prompt.blockHashes.length); i++) {
            Block block = blocks.get(i);
            if (block.hash == 0 && cachedBlocks.putIfAbsent(prompt.blockHashes[i], block) == null) {
                block.hash = prompt.blockHashes[i];
            }
        }
    }

    /**
     * Drops one reference to each block and clears the list. The blocks are released in reverse
     * order, so that the end of a prompt is evicted before its start.
     */
    void release(List<Block> blocks) {
        for (int i = blocks.size() - 1; i >= 0; i--) {
            Block block = blocks.get(i);
            if (--block.refCount > 0) {
                continue;
            }
            if (block.hash == 0) {
                freeBlocks++;
            } else {
                unreferenced.put(block.hash, block);
            }
        }
        blocks.clear();
    }

    /** Evicts all cached blocks without references. */
    void flush() {
        unreferenced.values().forEach(block -> cachedBlocks.remove(block.hash));
        freeBlocks += unreferenced.size();
        unreferenced.clear();
    }

    int usedBlocks() {
        return totalBlocks - freeBlocks - unreferenced.size();
    }

    int totalBlocks() {
        return totalBlocks;
    }

    long evictions() {
        return evictions;
    }
}
