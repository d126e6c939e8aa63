package org.fuchsialever.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.util.List;

/** The memory and the descriptors of an instance that meets crowds of clients. */
final class CrowdBounds {
    private static final int HEAP_MIB = 48;
    private static final int DIRECT_MIB = 48;
    private static final int METASPACE_MIB = 80;
    private static final int CODE_MIB = 24;

    /** Memory of the machine: all that the options of the process allow it. */
    private static final long MACHINE_BYTES =
            (HEAP_MIB + DIRECT_MIB + METASPACE_MIB + CODE_MIB) * 1_048_576L;

    /** Files of the class path are descriptors of the process, too. */
    private static final List<String> LAUNCHER =
            List.of(
                    "/bin/sh",
                    "-c",
                    "ulimit -n " + CrowdKind.MAX_DESCRIPTORS + "; exec \"$0\" \"$@\"");

    private CrowdBounds() {}

    /** Returns the command that bounds the descriptors of a process. */
    static List<String> launcher() {
        return LAUNCHER;
    }

    /** Returns the option that bounds the heap, which goes before that of the deploy file. */
    static List<String> options() {
        return List.of("-Xmx" + HEAP_MIB + "m");
    }

    /** Checks what does not depend on the speed of the machine. */
    static void assertKept(InstanceUnderTest instance) throws IOException {
        assertThat("the process lives", instance.isAlive(), is(true));
        assertThat(instance.peakResidentBytes(), is(lessThan(MACHINE_BYTES)));
        long descriptors = instance.openDescriptors();
        assertThat(descriptors, is(lessThan((long) CrowdKind.MAX_DESCRIPTORS)));
        assertThat(instance.log(), not(containsString("OutOfMemory")));
    }
}
