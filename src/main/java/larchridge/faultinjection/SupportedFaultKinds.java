package larchridge.faultinjection;

import java.util.Arrays;
import java.util.List;

/** Selects the kinds of faults that this machine can inject. */
public final class SupportedFaultKinds {
    private SupportedFaultKinds() {}

    /**
     * Returns the requested kinds, or all kinds if the request is empty. Without a C compiler, the
     * kinds that need the system call shim are left out, which is reported on standard output.
     */
    public static List<FaultKind> supported(List<FaultKind> requested, boolean shimAvailable) {
        List<FaultKind> kinds = requested.isEmpty() ? Arrays.asList(FaultKind.values()) : requested;
        if (!shimAvailable) {
            System.out.println(
                    "no C compiler found: faults in system calls and clocks are left out");
        }
        return kinds.stream().filter(kind -> shimAvailable || !kind.needsShim()).toList();
    }
}
