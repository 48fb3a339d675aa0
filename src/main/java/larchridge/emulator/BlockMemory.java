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
final class BlockMemory {
    /** One block; hash is 0 while it is nobody's beginning. */
    static final class Block {
        long hash;
        int refs;
    }

    private final int total;
    private int free;
    private final Map<Long, Block> kept = new HashMap<>();

    /** Kept and referred to by nobody, the one unused for longest first. */
    private final LinkedHashMap<Long, Block> idle = new LinkedHashMap<>();

    private long evicted;

    BlockMemory(int total) {
        this.total = total;
        free = total;
    }

    /** Whole blocks at the beginning of a prompt that are kept. */
    int found(Prompt prompt) {
        int found = 0;
        while (found < prompt.blocks.length && kept.containsKey(prompt.blocks[found])) {
            found++;
        }
        return found;
    }

    /**
     * Blocks for so many tokens of a prompt, its kept beginning first; null, and nothing taken,
     * where there is no room.
     */
    List<Block> take(Prompt prompt, int found, int blocks) {
        int idleFound = 0;
        for (int i = 0; i < found; i++) {
            idleFound += kept.get(prompt.blocks[i]).refs == 0 ? 1 : 0;
        }
        if (free + idle.size() - idleFound < blocks - found) {
            return null;
        }
        List<Block> taken = new ArrayList<>(blocks + 8);
        for (int i = 0; i < found; i++) {
            Block block = kept.get(prompt.blocks[i]);
            if (block.refs++ == 0) {
                idle.remove(block.hash);
            }
            taken.add(block);
        }
        while (taken.size() < blocks) {
            taken.add(fresh());
        }
        return taken;
    }

    /** One more block; null where there is no room. */
    Block more() {
        return free + idle.size() == 0 ? null : fresh();
    }

    private Block fresh() {
        if (free == 0) {
            Iterator<Block> oldest = idle.values().iterator();
            Block gone = oldest.next();
            oldest.remove();
            kept.remove(gone.hash);
            free++;
            evicted++;
        }
        free--;
        Block block = new Block();
        block.refs = 1;
        return block;
    }

    /** Blocks up to here of a prompt are filled: from now on they are found. */
    void filled(Prompt prompt, List<Block> blocks, int from, int to) {
        for (int i = from; i < Math.min(to, prompt.blocks.length); i++) {
            Block block = blocks.get(i);
            if (block.hash == 0 && kept.putIfAbsent(prompt.blocks[i], block) == null) {
                block.hash = prompt.blocks[i];
            }
        }
    }

    /** Nobody here refers to these any more; the end of a prompt goes before its beginning. */
    void give(List<Block> blocks) {
        for (int i = blocks.size() - 1; i >= 0; i--) {
            Block block = blocks.get(i);
            if (--block.refs > 0) {
                continue;
            }
            if (block.hash == 0) {
                free++;
            } else {
                idle.put(block.hash, block);
            }
        }
        blocks.clear();
    }

    /** Forgets all that nobody refers to. */
    void flush() {
        idle.values().forEach(block -> kept.remove(block.hash));
        free += idle.size();
        idle.clear();
    }

    int used() {
        return total - free - idle.size();
    }

    int total() {
        return total;
    }

    long evicted() {
        return evicted;
    }
}
