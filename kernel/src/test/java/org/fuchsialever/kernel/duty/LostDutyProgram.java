package org.fuchsialever.kernel.duty;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.IniDocument;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.kernel.time.SystemTimeSource;

/** A process with one duty, which fails in the way that the argument names. */
public final class LostDutyProgram {
    /** Exit status of a process whose duty went on. */
    static final int EXIT_SERVED_ON = 17;

    /** Bounds a wait that only a fault would make so long. */
    private static final long PATIENCE_SECONDS = 20;

    private LostDutyProgram() {}

    /** Runs the duty with an event that fails and with one after it. */
    public static void main(String[] arguments) throws InterruptedException {
        Findings findings = new Findings();
        ComponentContext context =
                new ComponentContext(
                        new SettingsReader(IniDocument.parse("x.ini", "", findings), findings),
                        new Closer(),
                        SystemTimeSource.INSTANCE,
                        1,
                        new SimpleMeterRegistry());
        CountDownLatch handled = new CountDownLatch(1);
        Inbox<String> inbox =
                context.startDuty(new FailingDuty(handled), 8, OverflowPolicy.REFUSE, action -> {});
        inbox.offer(arguments[0]);
        inbox.offer("next");
        boolean servedOn = handled.await(PATIENCE_SECONDS, TimeUnit.SECONDS);
        Runtime.getRuntime().halt(servedOn ? EXIT_SERVED_ON : 0);
    }

    private static final class FailingDuty implements Duty<String, String> {
        private final CountDownLatch mHandled;

        FailingDuty(CountDownLatch handled) {
            mHandled = handled;
        }

        @Override
        public String dutyName() {
            return "failing";
        }

        @Override
        public void onEvent(String event, long nowNanos, ActionSink<String> actions) {
            switch (event) {
                case "error" -> throw new OutOfMemoryError("Java heap space");
                case "exception" -> throw new IllegalStateException("a fault of one event");
                default -> mHandled.countDown();
            }
        }

        @Override
        public void onTimer(long nowNanos, ActionSink<String> actions) {}

        @Override
        public long nextTimerNanos() {
            return NO_TIMER;
        }
    }
}
