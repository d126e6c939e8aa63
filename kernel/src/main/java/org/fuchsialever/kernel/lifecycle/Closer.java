package org.fuchsialever.kernel.lifecycle;

import java.util.ArrayDeque;
import java.util.Deque;
import org.fuchsialever.kernel.log.PartLogger;
import org.jspecify.annotations.Nullable;

/** Collects resources and closes them in reverse order, even if some of them fail. */
public final class Closer implements AutoCloseable {
    private static final PartLogger LOG = PartLogger.of("closer");

    private final Deque<Entry> mEntries = new ArrayDeque<>();
    private boolean mClosed;

    /**
     * Adds a resource; it is closed immediately if this closer has already been closed.
     *
     * @param name the name of the resource in logs and exceptions
     * @return the resource
     */
    public <T extends AutoCloseable> T register(String name, T resource) {
        synchronized (mEntries) {
            if (!mClosed) {
                mEntries.push(new Entry(name, resource));
                return resource;
            }
        }
        close(new Entry(name, resource), null);
        return resource;
    }

    /**
     * Closes all resources. A second call does nothing.
     *
     * @throws CloseException after all resources have been tried, if any failed to close; each
     *     failure is a suppressed exception
     */
    @Override
    public void close() {
        CloseException failure = null;
        Entry entry = next();
        while (entry != null) {
            failure = close(entry, failure);
            entry = next();
        }
        if (failure != null) {
            throw failure;
        }
    }

    private @Nullable Entry next() {
        synchronized (mEntries) {
            mClosed = true;
            return mEntries.poll();
        }
    }

    private static @Nullable CloseException close(Entry entry, @Nullable CloseException earlier) {
        try {
            entry.resource.close();
            return earlier;
        } catch (Exception e) {
            if (e instanceof InterruptedException) {
                Thread.currentThread().interrupt();
            }
            LOG.warning("Could not close " + entry.name + ".", e);
            CloseException failure =
                    earlier == null ? new CloseException("resources failed to close") : earlier;
            failure.addSuppressed(new CloseException(entry.name, e));
            return failure;
        }
    }

    private record Entry(String name, AutoCloseable resource) {}

    /** Thrown when one or more resources failed to close. */
    public static final class CloseException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        private CloseException(String message) {
            super(message);
        }

        private CloseException(String resource, Exception cause) {
            super("could not close " + resource, cause);
        }
    }
}
