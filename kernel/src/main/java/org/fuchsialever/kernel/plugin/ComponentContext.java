package org.fuchsialever.kernel.plugin;

import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;
import org.fuchsialever.kernel.duty.DutyThread;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.duty.ProcessEnd;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.kernel.time.TimeSource;

/** Services, settings and resources that components of one process share. */
public final class ComponentContext {
    private final Map<Class<?>, Object> mServices = new HashMap<>();
    private final SettingsReader mSettings;
    private final Closer mCloser;
    private final TimeSource mTime;
    private final long mRandomSeed;
    private final MeterRegistry mMeters;
    private final List<DutyThread<?, ?>> mDuties = new CopyOnWriteArrayList<>();

    /**
     * Creates a context.
     *
     * @param closer closes the resources of all components
     * @param randomSeed the seed from which the seed of each random source is derived
     */
    public ComponentContext(
            SettingsReader settings,
            Closer closer,
            TimeSource time,
            long randomSeed,
            MeterRegistry meters) {
        mSettings = settings;
        mCloser = closer;
        mTime = time;
        mRandomSeed = randomSeed;
        mMeters = meters;
    }

    /**
     * Returns a service.
     *
     * @param type the type that it was provided as
     * @throws IllegalStateException if no component provided it
     */
    public <T> T require(Class<T> type) {
        Object service = mServices.get(type);
        if (service == null) {
            throw new IllegalStateException("no component provides " + type.getName());
        }
        return type.cast(service);
    }

    /** Returns a service, or none if no component provided it. */
    public <T> Option<T> find(Class<T> type) {
        return Option.of(mServices.get(type)).map(type::cast);
    }

    /**
     * Makes a service available to components that are installed later.
     *
     * @throws IllegalStateException if the type has been provided before
     */
    public <T> void provide(Class<T> type, T service) {
        if (mServices.putIfAbsent(type, service) != null) {
            throw new IllegalStateException(type.getName() + " is provided twice");
        }
    }

    /** Returns the settings of the process. */
    public SettingsReader settings() {
        return mSettings;
    }

    /** Returns the closer that releases the resources of the process. */
    public Closer closer() {
        return mCloser;
    }

    /** Returns the clock of the process. */
    public TimeSource time() {
        return mTime;
    }

    /** Returns a new random source, seeded from the seed of the process and the purpose. */
    public RandomGenerator random(String purpose) {
        return new SplittableRandom(mRandomSeed * 31 + purpose.hashCode());
    }

    /** Returns the registry for all metrics. */
    public MeterRegistry meters() {
        return mMeters;
    }

    /** Returns the longest time for which one of the duties has not run. */
    public long longestSilenceNanos() {
        return mDuties.stream().mapToLong(DutyThread::silenceNanos).max().orElse(0);
    }

    /**
     * Starts a duty on a thread of its own and registers the thread with the closer.
     *
     * @param capacity the number of events that the inbox of the duty holds
     * @param overflow what happens to an event when the inbox is full
     * @param actions executes the actions, on the thread of the duty; must not block
     * @return the inbox of the duty
     */
    public <E, A> Inbox<E> startDuty(
            Duty<E, A> duty, int capacity, OverflowPolicy overflow, ActionSink<A> actions) {
        return startDutyWith(duty, capacity, overflow, inbox -> actions);
    }

    /**
     * Starts a duty whose actions lead to further events of the same duty.
     *
     * @param capacity the number of events that the inbox of the duty holds
     * @param overflow what happens to an event when the inbox is full
     * @param actions creates the executor of the actions, given the inbox of the duty
     * @return the inbox of the duty
     */
    public <E, A> Inbox<E> startDutyWith(
            Duty<E, A> duty,
            int capacity,
            OverflowPolicy overflow,
            Function<Inbox<E>, ActionSink<A>> actions) {
        Inbox<E> inbox = new Inbox<>(capacity, overflow);
        DutyThread<E, A> thread =
                new DutyThread<>(duty, inbox, actions.apply(inbox), mTime, ProcessEnd.HALT);
        mDuties.add(thread);
        String name = duty.dutyName();
        mMeters.gauge("fuchsialever.ring.size." + name, inbox, Inbox::size);
        mMeters.gauge("fuchsialever.ring.overflows." + name, inbox, Inbox::overflowCount);
        mMeters.gauge("fuchsialever.duty.failures." + name, thread, DutyThread::failureCount);
        mCloser.register("duty " + name, thread);
        thread.start();
        return inbox;
    }
}
