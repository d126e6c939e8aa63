package org.fuchsialever.cli.soak;

import io.vavr.control.Option;
import java.util.Map;
import org.fuchsialever.kernel.invariant.InvariantViolationException;

/**
 * The result of a run with one seed. The same seed and number of steps give the same result.
 *
 * @param seed the seed of all randomness
 * @param steps steps of 10 ms that were taken, up to a violation
 * @param violation what went wrong, if anything
 * @param counts how often each kind of fault, answer and retry was seen
 */
public record SoakRun(
        long seed, long steps, Option<String> violation, Map<String, Integer> counts) {

    /** Copies the counts. */
    public SoakRun {
        counts = Map.copyOf(counts);
    }

    /** Steps without faults after which every call must be answered and every sample delivered. */
    private static final long RECOVERY_STEPS = 6_000;

    /**
     * Runs several instances with random work and faults until a violation or the last step, and
     * then without either until all work is done.
     */
    public static SoakRun of(long seed, long steps) {
        SoakWorld world = new SoakWorld(seed);
        long step = 0;
        boolean done = false;
        while (!done) {
            try {
                if (step == steps) {
                    world.recover();
                }
                world.step();
                done = step >= steps && world.isSettled();
                if (!done && step >= steps + RECOVERY_STEPS) {
                    throw new IllegalStateException("work is still open long after the faults");
                }
            } catch (InvariantViolationException | IllegalStateException | AssertionError e) {
                String text = e.getClass().getSimpleName() + ": " + e.getMessage();
                return new SoakRun(seed, step + 1, Option.some(text), world.mChecker.counts());
            }
            step++;
        }
        return new SoakRun(seed, step, Option.none(), world.mChecker.counts());
    }
}
