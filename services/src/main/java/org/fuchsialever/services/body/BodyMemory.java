package org.fuchsialever.services.body;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.atomic.AtomicLong;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Reads the bodies of responses into memory, each up to a maximum size and all that are incomplete
 * together up to another one. A server in trouble may send bytes without end.
 */
public final class BodyMemory {
    /**
     * Buffers grow by doubling and are copied once, so the bytes take up to three times as much.
     */
    private static final long HEAP_FRACTION = 8;

    private final long mMaxTotalBytes;
    private final AtomicLong mHeldBytes = new AtomicLong();

    /**
     * Creates a memory.
     *
     * @param maxTotalBytes maximum size of all incomplete bodies together
     */
    public BodyMemory(long maxTotalBytes) {
        mMaxTotalBytes = maxTotalBytes;
    }

    /** Creates a memory of an eighth of the heap. */
    public static BodyMemory ofHeap() {
        return new BodyMemory(Runtime.getRuntime().maxMemory() / HEAP_FRACTION);
    }

    /**
     * Reads a body; the failure of one that is too large cancels the content, which closes its
     * connection.
     *
     * @param maxBytes maximum size of this body
     */
    public Mono<byte[]> read(Flux<byte[]> content, int maxBytes) {
        return Mono.defer(
                () -> {
                    Body body = new Body(maxBytes);
                    return content.doOnNext(body::append)
                            .then(Mono.fromSupplier(body::bytes))
                            .doFinally(signal -> body.release());
                });
    }

    /** The part of one body that has arrived. */
    private final class Body {
        private final int mMaxBytes;
        private final ByteArrayOutputStream mReceived = new ByteArrayOutputStream();
        private boolean mReleased;

        Body(int maxBytes) {
            mMaxBytes = maxBytes;
        }

        // A time limit releases the body while a part may arrive in another thread.
        synchronized void append(byte[] part) {
            if (mReleased) {
                return;
            }
            if ((long) mReceived.size() + part.length > mMaxBytes) {
                throw new BodyTooLargeException("the body exceeds " + mMaxBytes + " bytes");
            }
            if (mHeldBytes.addAndGet(part.length) > mMaxTotalBytes) {
                mHeldBytes.addAndGet(-part.length);
                throw new BodyTooLargeException(
                        "all incomplete bodies exceed " + mMaxTotalBytes + " bytes");
            }
            mReceived.writeBytes(part);
        }

        synchronized byte[] bytes() {
            return mReceived.toByteArray();
        }

        synchronized void release() {
            if (!mReleased) {
                mReleased = true;
                mHeldBytes.addAndGet(-mReceived.size());
            }
        }
    }

    /** A body exceeds the maximum size, or all bodies together do. */
    public static final class BodyTooLargeException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        BodyTooLargeException(String message) {
            super(message, null, false, false);
        }
    }
}
