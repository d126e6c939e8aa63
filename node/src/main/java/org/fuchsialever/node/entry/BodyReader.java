package org.fuchsialever.node.entry;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import java.util.Arrays;
import org.fuchsialever.decisions.manifest.RequestKind;
import org.fuchsialever.decisions.memory.MemoryShare;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Reads the bodies of requests. Room for a body is reserved before its first byte is read; until
 * then the flow control of its connection keeps it with the caller.
 */
final class BodyReader {
    /** Below the second after which callers abandon a request that has not been read. */
    private static final Duration MAX_PATIENCE = Duration.ofMillis(800);

    /** Callers abandon a request that has not been read after a third of their time. */
    private static final int PATIENCE_DIVISOR = 4;

    /** For requests without a route. */
    private static final long DEFAULT_TIMEOUT_MILLIS = 5_000;

    /** The parsed items of a submission and their encoding exist beside its body. */
    private static final int SUBMISSION_FACTOR = 4;

    private static final int FIRST_CHUNKED_BYTES = 16 * 1_024;

    /** Above any limit that a manifest sets. */
    private static final long MAX_DISCARDED_BYTES = 64L * 1_024 * 1_024;

    /** Bounds what a refused caller may go on sending before its connection is closed. */
    private static final Duration DISCARD_TIMEOUT = Duration.ofSeconds(5);

    private final Scheduler mTimers;

    BodyReader(Scheduler timers) {
        mTimers = timers;
    }

    /** Reads a body; fails with {@link BodyRefusedException} if it is not accepted. */
    Mono<byte[]> read(
            HttpServerRequest request,
            EntryHandler.AcceptedRequest accepted,
            InstanceMemory.Lease lease) {
        int limit = accepted.manifest().limits().maxBodyBytes();
        long declared = declaredBytes(request);
        if (declared > limit) {
            return Mono.error(tooLarge(accepted, true));
        }
        boolean chunked = request.requestHeaders().contains(HttpHeaderNames.TRANSFER_ENCODING);
        int first = (int) (chunked ? Math.min(FIRST_CHUNKED_BYTES, limit) : declared);
        int factor =
                accepted.route().exists(route -> route.kind() == RequestKind.ROLLOUT)
                        ? SUBMISSION_FACTOR
                        : 1;
        Duration timeout = Duration.ofMillis(timeoutMillis(accepted));
        Duration patience = timeout.dividedBy(PATIENCE_DIVISOR);
        Body body = new Body(accepted, lease, first, limit, factor);
        Mono<byte[]> read =
                lease.admit(
                                (long) first * factor,
                                patience.compareTo(MAX_PATIENCE) < 0 ? patience : MAX_PATIENCE)
                        .flatMap(
                                verdict ->
                                        switch (verdict.outcome()) {
                                            case ADMITTED -> receive(request, body);
                                            case NEVER_FITS -> Mono.error(tooLarge(accepted, true));
                                            case WAITING, REJECTED ->
                                                    Mono.error(
                                                            noRoom(
                                                                    verdict.retryAfterMillis(),
                                                                    true));
                                        });
        return first == 0 ? read : read.timeout(timeout, Mono.error(BodyReader::late), mTimers);
    }

    /** Reads the rest of a body without keeping it, so that its caller can read the refusal. */
    Mono<Void> discard(HttpServerRequest request) {
        long[] discarded = new long[1];
        return request.receive()
                .handle(
                        (part, sink) -> {
                            discarded[0] += part.readableBytes();
                            if (discarded[0] > MAX_DISCARDED_BYTES) {
                                sink.error(new IllegalStateException("the body has no end"));
                            }
                        })
                .then()
                .timeout(DISCARD_TIMEOUT, mTimers);
    }

    private static Mono<byte[]> receive(HttpServerRequest request, Body body) {
        return Mono.defer(
                () -> {
                    body.open();
                    return request.receive().doOnNext(body::add).then(Mono.fromSupplier(body::end));
                });
    }

    private static long declaredBytes(HttpServerRequest request) {
        String declared = request.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH, "0");
        // The server has checked that it is a number; a longer one is too large anyway.
        return declared.length() > 15 ? Long.MAX_VALUE : Long.parseLong(declared.strip());
    }

    private static long timeoutMillis(EntryHandler.AcceptedRequest accepted) {
        long ofRoute =
                accepted.route()
                        .map(route -> route.timeoutMillis())
                        .getOrElse(DEFAULT_TIMEOUT_MILLIS);
        return Math.max(1, Math.min(ofRoute, accepted.head().deadlineMillis().getOrElse(ofRoute)));
    }

    private static BodyRefusedException tooLarge(
            EntryHandler.AcceptedRequest accepted, boolean unread) {
        String path = accepted.head().path();
        return new BodyRefusedException(EntryRefusal.BODY_TOO_LARGE, path, 0, unread);
    }

    private static BodyRefusedException noRoom(long retryAfterMillis, boolean unread) {
        return new BodyRefusedException(
                EntryRefusal.NOT_RUN, "no-memory", retryAfterMillis, unread);
    }

    private static BodyRefusedException late() {
        return new BodyRefusedException(EntryRefusal.NOT_RUN, "body-late", 0, false);
    }

    /** A body that is being read. */
    private static final class Body {
        private final EntryHandler.AcceptedRequest mAccepted;
        private final InstanceMemory.Lease mLease;
        private final int mFirst;
        private final int mLimit;
        private final int mFactor;
        private byte[] mBytes = new byte[0];
        private int mLength;

        Body(
                EntryHandler.AcceptedRequest accepted,
                InstanceMemory.Lease lease,
                int first,
                int limit,
                int factor) {
            mAccepted = accepted;
            mLease = lease;
            mFirst = first;
            mLimit = limit;
            mFactor = factor;
        }

        void open() {
            mBytes = new byte[mFirst];
        }

        void add(ByteBuf part) {
            int count = part.readableBytes();
            if (mLength + count > mLimit) {
                throw tooLarge(mAccepted, false);
            }
            if (mLength + count > mBytes.length) {
                grow(mLength + count);
            }
            part.readBytes(mBytes, mLength, count);
            mLength += count;
        }

        /**
         * Grows a body of unknown length. It cannot wait, because it holds room already. The room
         * of the array that is copied is kept until the end of the request.
         */
        private void grow(int needed) {
            int grown = Math.min(mLimit, Math.max(needed, 2 * mBytes.length));
            long taken = (long) grown * mFactor;
            if (!mLease.canEverTake(taken)) {
                throw tooLarge(mAccepted, false);
            }
            if (!mLease.tryTake(MemoryShare.LARGE_BODY, taken)) {
                throw noRoom(mLease.retryAfterMillis(grown), false);
            }
            mBytes = Arrays.copyOf(mBytes, grown);
        }

        byte[] end() {
            return mLength == mBytes.length ? mBytes : Arrays.copyOf(mBytes, mLength);
        }
    }

    /** Signals a body that is not accepted. */
    static final class BodyRefusedException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        private final EntryRefusal mReason;
        private final String mDetail;
        private final long mRetryAfterMillis;
        private final boolean mUnread;

        BodyRefusedException(
                EntryRefusal reason, String detail, long retryAfterMillis, boolean unread) {
            super(detail, null, false, false);
            mReason = reason;
            mDetail = detail;
            mRetryAfterMillis = retryAfterMillis;
            mUnread = unread;
        }

        EntryRefusal reason() {
            return mReason;
        }

        String detail() {
            return mDetail;
        }

        long retryAfterMillis() {
            return mRetryAfterMillis;
        }

        /** Returns whether nothing of the body has been read. */
        boolean isUnread() {
            return mUnread;
        }
    }
}
