package larchridge.faultinjection;

import java.util.Arrays;
import java.util.List;

/** Which troubles a machine can play. */
public final class FaultScripts {
    private FaultScripts() {}

    /**
     * The kinds asked for, all where none is, without those that need a C compiler where there is
     * none; says what is left out.
     */
    public static List<FaultKind> playable(List<FaultKind> asked, boolean shim) {
        List<FaultKind> kinds = asked.isEmpty() ? Arrays.asList(FaultKind.values()) : asked;
        if (!shim) {
            System.out.println(
                    "no C compiler: system calls don't fail and clocks don't step in this run");
        }
        return kinds.stream().filter(kind -> shim || !kind.needsShim()).toList();
    }
}
