package larchridge.faultinjection;

import java.util.Arrays;
import java.util.List;

/** Which troubles a machine can play. */
public final class SupportedFaultKinds {
    private SupportedFaultKinds() {}

    /**
     * The kinds asked for, all where none is, without those that need a C compiler where there is
     * none; says what is left out.
     */
    public static List<FaultKind> supported(List<FaultKind> requested, boolean shimAvailable) {
        List<FaultKind> kinds = requested.isEmpty() ? Arrays.asList(FaultKind.values()) : requested;
        if (!shimAvailable) {
            System.out.println(
                    "no C compiler: system calls don't fail and clocks don't step in this run");
        }
        return kinds.stream().filter(kind -> shimAvailable || !kind.needsShim()).toList();
    }
}
