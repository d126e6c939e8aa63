package org.fuchsialever.kernel.invariant;

import java.util.function.Supplier;

/** Receives the results of invariant checks. */
public interface InvariantMonitor {

    /**
     * Reports a violation if the condition is false.
     *
     * @param condition whether the invariant holds
     * @param detail describes the violation; evaluated only if there is one
     */
    default void check(Invariant invariant, boolean condition, Supplier<String> detail) {
        if (!condition) {
            reportViolation(invariant, detail.get());
        }
    }

    /** Reports a violation. */
    void reportViolation(Invariant invariant, String detail);

    /**
     * Returns a monitor that throws {@link InvariantViolationException}, for tests and soak runs.
     */
    static InvariantMonitor throwing() {
        return (invariant, detail) -> {
            throw new InvariantViolationException(invariant, detail);
        };
    }
}
