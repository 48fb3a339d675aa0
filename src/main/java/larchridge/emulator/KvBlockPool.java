package larchridge.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An engine's memory in blocks. A whole block of a prompt is kept under its hash and shared by all
 * who begin alike, counted by who refers to it; one that nobody refers to stays until room is
 * needed, the one unused for longest going first.
 */
final class KvBlockPool {
    /** One block; hash is 0 while it is nobody's beginning. */
    static final class Block {
        long hash;
        int refCount;
    }

    private final int totalBlocks;
    private int freeBlocks;
    private final Map<Long, Block> cachedBlocks = new HashMap<>();

    /** Kept and referred to by nobody, the one unused for longest first. */
    private final LinkedHashMap<Long, Block> unreferenced = new LinkedHashMap<>();

    private long evictions;

    KvBlockPool(int totalBlocks) {
        this.totalBlocks = totalBlocks;
        freeBlocks = totalBlocks;
    }

    /** Whole blocks at the beginning of a prompt that are kept. */
    int countCachedBlocks(Prompt prompt) {
        int cached = 0;
        while (cached < prompt.blockHashes.length && cachedBlocks.containsKey(prompt.blockHashes[cached])) {
            cached++;
        }
        return cached;
    }

    /**
     * Blocks for so many tokens of a prompt, its kept beginning first; null, and nothing taken,
     * where there is no room.
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

    /** One more block; null where there is no room. */
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

    /** Blocks up to here of a prompt are filled: from now on they are found. */
    void cacheFilledBlocks(Prompt prompt, List<Block> blocks, int from, int to) {
        for (int i = from; i < Math.min(to, prompt.blockHashes.length); i++) {
            Block block = blocks.get(i);
            if (block.hash == 0 && cachedBlocks.putIfAbsent(prompt.blockHashes[i], block) == null) {
                block.hash = prompt.blockHashes[i];
            }
        }
    }

    /** Nobody here refers to these any more; the end of a prompt goes before its beginning. */
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

    /** Forgets all that nobody refers to. */
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
