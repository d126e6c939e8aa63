package org.fuchsialever.node.keys;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.fuchsialever.decisions.keys.KeyView;
import org.fuchsialever.decisions.model.KeyId;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Holds the current key view and the running calls that a withdrawal ends. */
final class KeyViews implements RunningCalls {
    private final Map<KeyId, Collection<Registration>> mRunning = new ConcurrentHashMap<>();
    private final Collection<Confirmation> mConfirmations = new CopyOnWriteArrayList<>();
    private volatile KeyView mCurrent = KeyView.NONE;

    KeyView current() {
        return mCurrent;
    }

    void publish(KeyView view) {
        mCurrent = view;
        confirm();
    }

    /** Returns a signal that completes when this instance refuses the key as withdrawn. */
    Mono<Void> whenWithdrawn(KeyId key) {
        Confirmation confirmation = new Confirmation(key, Sinks.empty());
        mConfirmations.add(confirmation);
        confirm();
        return confirmation
                .signal
                .asMono()
                .doFinally(signal -> mConfirmations.remove(confirmation));
    }

    @Override
    public AutoCloseable register(KeyId key, Runnable end) {
        Registration registration = new Registration(key, end);
        mRunning.compute(
                key,
                (id, registered) -> {
                    Collection<Registration> calls =
                            registered == null ? ConcurrentHashMap.newKeySet() : registered;
                    calls.add(registration);
                    return calls;
                });
        // Read after registering: earlier changes are seen here, later ones find the registration.
        KeyView view = mCurrent;
        if (!view.usable() || view.table().isWithdrawn(key)) {
            registration.end();
        }
        return registration;
    }

    /** Ends the calls of a key and returns their number. */
    int endCalls(KeyId key) {
        Collection<Registration> calls = mRunning.remove(key);
        int ended = 0;
        for (Registration call : calls == null ? List.<Registration>of() : calls) {
            ended += call.end() ? 1 : 0;
        }
        return ended;
    }

    /** Ends the calls of all keys and returns their number. */
    int endAllCalls() {
        return List.copyOf(mRunning.keySet()).stream().mapToInt(this::endCalls).sum();
    }

    private void confirm() {
        for (Confirmation confirmation : mConfirmations) {
            if (mCurrent.table().isWithdrawn(confirmation.key)) {
                confirmation.signal.tryEmitEmpty();
            }
        }
    }

    private void remove(Registration registration) {
        mRunning.computeIfPresent(
                registration.mKey,
                (id, calls) -> {
                    calls.remove(registration);
                    return calls.isEmpty() ? null : calls;
                });
    }

    private record Confirmation(KeyId key, Sinks.Empty<Void> signal) {}

    private final class Registration implements AutoCloseable {
        private final KeyId mKey;
        private final Runnable mEnd;
        private boolean mEnded;

        Registration(KeyId key, Runnable end) {
            mKey = key;
            mEnd = end;
        }

        boolean end() {
            if (!markEnded()) {
                return false;
            }
            remove(this);
            mEnd.run();
            return true;
        }

        @Override
        public void close() {
            if (markEnded()) {
                remove(this);
            }
        }

        private synchronized boolean markEnded() {
            boolean first = !mEnded;
            mEnded = true;
            return first;
        }
    }
}
