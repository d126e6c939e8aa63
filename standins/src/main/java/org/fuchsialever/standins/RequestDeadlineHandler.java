package org.fuchsialever.standins;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Closes a connection that does not deliver a complete request within a timeout, counted from its
 * opening or from the previous request.
 */
final class RequestDeadlineHandler extends ChannelInboundHandlerAdapter {
    static final String NAME = "stand-in-request-deadline";

    private final long mTimeoutNanos;
    private @Nullable ScheduledFuture<?> mDeadline;
    private @Nullable ChannelHandlerContext mContext;

    RequestDeadlineHandler(long timeoutNanos) {
        mTimeoutNanos = timeoutNanos;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        mContext = added;
        restart();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext removed) {
        cancel();
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) throws Exception {
        cancel();
        super.channelInactive(inactive);
    }

    /** Restarts the timeout for the next request; must be called on the event loop. */
    void restart() {
        cancel();
        ChannelHandlerContext current = mContext;
        if (current != null) {
            mDeadline =
                    current.executor()
                            .schedule(
                                    () -> current.channel().close(),
                                    mTimeoutNanos,
                                    TimeUnit.NANOSECONDS);
        }
    }

    private void cancel() {
        if (mDeadline != null) {
            mDeadline.cancel(false);
        }
    }
}
