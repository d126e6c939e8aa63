package org.fuchsialever.kernel.invariant;

import java.util.function.Supplier;

/** Receives the result of invariant checks. */
public interface InvariantMonitor {

    /**
     * Reports a violation if the condition is false.
     *
     * @param invariant the property that was checked
     * @param condition whether it holds
     * @param detail describes the case; evaluated only for a violation
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
