package org.fuchsialever.node.callers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.callers.CallerLimits;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.fuchsialever.node.dispatch.ManualScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.netty.NettyPipeline;

class EntryCodecTest {
    private static final String HEAD = "GET /a HTTP/1.1\r\nHost: h\r\n";
    private static final int MAX_HEAD_BYTES = 64 * 1_024;
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final CallerLimits LIMITS = new CallerLimits(2, 6 * SECOND, 15 * SECOND, SECOND);

    private final ManualTimeSource mTime = new ManualTimeSource(0);
    private final ManualScheduler mTimers = new ManualScheduler(mTime);
    private final SimpleMeterRegistry mMeters = new SimpleMeterRegistry();
    private final List<EmbeddedChannel> mChannels = new ArrayList<>();
    private boolean mResponsesTight;

    @AfterEach
    void close() {
        mChannels.forEach(EmbeddedChannel::finishAndReleaseAll);
    }

    @Test
    void decodesAHeadThatArrivesInParts() {
        EmbeddedChannel channel = open(guard(1_000_000));
        send(channel, HEAD.substring(0, 7));
        assertThat(channel.<Object>readInbound() == null, is(true));
        send(channel, HEAD.substring(7));
        send(channel, "\r\n");
        assertThat(request(channel).uri(), is("/a"));
    }

    @Test
    void decodesARequestWithABodyAndTheNextOne() {
        EmbeddedChannel channel = open(guard(1_000_000));
        send(channel, "POST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc" + HEAD + "\r\n");
        assertThat(request(channel).uri(), is("/b"));
        assertThat(body(channel), is("abc"));
        respond(channel);
        assertThat(request(channel).uri(), is("/a"));
    }

    /** Guards against bytes of a body that are taken for a head, and the other way round. */
    @Test
    void decodesAChunkedBodyAndDropsItsTrailers() {
        EmbeddedChannel channel = open(guard(1_000_000));
        send(
                channel,
                "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "3\r\nabc\r\n0\r\nT: 1\r\n\r\n");
        assertThat(request(channel).uri(), is("/b"));
        assertThat(body(channel), is("abc"));
        respond(channel);
        send(channel, HEAD + "\r\n");
        assertThat(request(channel).uri(), is("/a"));
    }

    @Test
    void decodesNoRequestBeforeTheResponseToTheOneBefore() {
        EmbeddedChannel channel = open(guard(1_000_000));
        send(channel, (HEAD + "\r\n").repeat(3));
        for (int n = 0; n < 3; n++) {
            assertThat(request(channel).uri(), is("/a"));
            assertThat(body(channel), is(""));
            assertThat(channel.<Object>readInbound() == null, is(true));
            respond(channel);
        }
        assertThat(channel.isOpen(), is(true));
    }

    @Test
    void answersAHeadWithoutEndThatItIsTooLarge() {
        EmbeddedChannel channel = open(guard(100_000_000));
        send(channel, HEAD + "a: " + "b".repeat(MAX_HEAD_BYTES));
        assertThat(written(channel), startsWith("HTTP/1.1 431 "));
        assertThat(channel.isOpen(), is(false));
    }

    @Test
    void decodesAHeadOfTheShortestLinesUpToTheLimitOfTheManifest() {
        EmbeddedChannel channel = open(guard(2_000_000));
        send(channel, HEAD + "a:\r\n".repeat(4_000) + "\r\n");
        assertThat(request(channel).headers().getAll("a").size(), is(4_000));
        assertThat(EntryCodec.isRefused(channel), is(false));
    }

    @Test
    void answersEmptyLinesWithoutEndThatTheyAreNoRequest() {
        EmbeddedChannel channel = open(guard(1_000_000));
        send(channel, "\r\n".repeat(20));
        assertThat(channel.isOpen(), is(true));
        send(channel, "\r\n".repeat(20));
        assertThat(written(channel), startsWith("HTTP/1.1 400 "));
        assertThat(channel.isOpen(), is(false));
    }

    @Test
    void keepsFewFieldsOfARequestWithoutRoom() {
        CallerGuard guard = guard(1_000_000);
        EmbeddedChannel first = open(guard);
        EmbeddedChannel second = open(guard);
        String large = HEAD + "a:\r\n".repeat(3_000);
        send(first, large + "\r\n");
        assertThat(EntryCodec.isRefused(first), is(false));
        send(second, large + "Content-Length: 0\r\n\r\n");
        assertThat(EntryCodec.isRefused(second), is(true));
        HttpRequest refused = request(second);
        assertThat(refused.headers().size(), is(SparseHeaders.MAX_FIELDS + 1));
        assertThat(refused.headers().get("Host"), is("h"));
        respond(first);
        respond(second);
        send(second, large + "\r\n");
        assertThat(EntryCodec.isRefused(second), is(false));
    }

    /** Guards against a crowd of unfinished heads that shuts out all others. */
    @Test
    void closesTheOldestUnfinishedHeadWhenAnotherHasNoRoom() {
        CallerGuard guard = guard(100_000);
        EmbeddedChannel first = open(guard);
        EmbeddedChannel second = open(guard);
        send(first, HEAD + "a: " + "b".repeat(15_000));
        mTime.advance(Duration.ofMillis(1));
        send(second, HEAD + "a: " + "b".repeat(15_000));
        assertThat(written(first), startsWith("HTTP/1.1 408 "));
        assertThat(first.isOpen(), is(false));
        assertThat(second.isOpen(), is(true));
    }

    @Test
    void closesAHeadThatTakesTooLong() {
        EmbeddedChannel channel = open(guard(1_000_000));
        send(channel, HEAD);
        mTimers.advance(Duration.ofNanos(LIMITS.headNanos() - SECOND));
        assertThat(channel.isOpen(), is(true));
        mTimers.advance(Duration.ofSeconds(2));
        assertThat(written(channel), startsWith("HTTP/1.1 408 "));
        assertThat(channel.isOpen(), is(false));
    }

    @Test
    void keepsAnIdleConnectionAndOneWithARequestInProgress() {
        CallerGuard guard = guard(1_000_000);
        EmbeddedChannel idle = open(guard);
        EmbeddedChannel busy = open(guard);
        send(idle, HEAD + "\r\n");
        respond(idle);
        send(busy, HEAD + "\r\n");
        mTimers.advance(Duration.ofMinutes(1));
        assertThat(idle.isOpen(), is(true));
        assertThat(busy.isOpen(), is(true));
    }

    @Test
    void closesAConnectionWhoseCallerTakesNothingOfAResponse() {
        EmbeddedChannel channel = openStopped(guard(1_000_000));
        send(channel, HEAD + "\r\n");
        respond(channel);
        mTimers.advance(Duration.ofNanos(LIMITS.unreadNanos() - SECOND));
        assertThat(channel.isOpen(), is(true));
        mTimers.advance(Duration.ofSeconds(2));
        assertThat(channel.isOpen(), is(false));
    }

    /** Guards against callers who read nothing and leave no room for other responses. */
    @Test
    void closesItSoonerWhileResponsesHaveLittleRoom() {
        mResponsesTight = true;
        EmbeddedChannel channel = openStopped(guard(1_000_000));
        send(channel, HEAD + "\r\n");
        respond(channel);
        mTimers.advance(Duration.ofNanos(LIMITS.unreadGraceNanos() + SECOND));
        assertThat(channel.isOpen(), is(false));
    }

    @Test
    void closesTheConnectionThatHasBeenIdleLongestForANewOne() {
        CallerGuard guard = guard(1_000_000);
        EmbeddedChannel busy = open(guard);
        send(busy, HEAD + "\r\n");
        EmbeddedChannel idle = open(guard);
        EmbeddedChannel opened = open(guard);
        assertThat(idle.isOpen(), is(false));
        assertThat(busy.isOpen(), is(true));
        assertThat(opened.isOpen(), is(true));
    }

    @Test
    void closesANewConnectionWhileRequestsAreInProgressOnAllOthers() {
        CallerGuard guard = guard(1_000_000);
        send(open(guard), HEAD + "\r\n");
        send(open(guard), HEAD + "\r\n");
        EmbeddedChannel opened = open(guard);
        opened.runPendingTasks();
        assertThat(opened.isOpen(), is(false));
    }

    @Test
    void takesResponsesToHeadRequestsForEmptyOnes() {
        EmbeddedChannel channel = open(guard(1_000_000));
        send(channel, HEAD.replace("GET", "HEAD") + "\r\n");
        respond(channel, "3");
        send(channel, HEAD + "\r\n");
        assertThat(written(channel), containsString("content-length: 3\r\n\r\n"));
        request(channel);
        assertThat(request(channel).uri(), is("/a"));
    }

    private CallerGuard guard(long headBudgetBytes) {
        return new CallerGuard(
                () -> LIMITS,
                headBudgetBytes,
                MAX_HEAD_BYTES,
                () -> EntryCodec.LEAST_HEAD_BYTES,
                () -> mResponsesTight,
                mTime,
                mTimers,
                new ClosingLog(mTime, mMeters, (reason, count) -> {}),
                mMeters);
    }

    private EmbeddedChannel open(CallerGuard guard) {
        EmbeddedChannel channel = new EmbeddedChannel();
        mChannels.add(channel);
        channel.pipeline().addLast(NettyPipeline.HttpCodec, new ChannelDuplexHandler());
        EntryCodec.install(channel, guard.open(channel));
        return channel;
    }

    /** Opens a connection that takes no byte. */
    private EmbeddedChannel openStopped(CallerGuard guard) {
        EmbeddedChannel channel = open(guard);
        channel.pipeline()
                .addFirst(
                        new ChannelOutboundHandlerAdapter() {
                            @Override
                            public void write(
                                    ChannelHandlerContext context,
                                    Object message,
                                    ChannelPromise promise) {
                                ReferenceCountUtil.release(message);
                            }
                        });
        return channel;
    }

    private static void send(EmbeddedChannel channel, String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private static HttpRequest request(EmbeddedChannel channel) {
        Object next = channel.readInbound();
        while (next instanceof HttpContent) {
            next = channel.readInbound();
        }
        return (HttpRequest) next;
    }

    private static String body(EmbeddedChannel channel) {
        StringBuilder body = new StringBuilder();
        Object part = channel.readInbound();
        while (part instanceof HttpContent content) {
            body.append(content.content().toString(StandardCharsets.US_ASCII));
            part = part instanceof LastHttpContent ? null : channel.readInbound();
        }
        return body.toString();
    }

    private static void respond(EmbeddedChannel channel) {
        respond(channel, "0");
    }

    private static void respond(EmbeddedChannel channel, String length) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set("content-length", length);
        channel.writeOutbound(response);
        channel.runPendingTasks();
    }

    private static String written(EmbeddedChannel channel) {
        StringBuilder text = new StringBuilder();
        ByteBuf part = channel.readOutbound();
        while (part != null) {
            text.append(part.toString(StandardCharsets.US_ASCII));
            part.release();
            part = channel.readOutbound();
        }
        return text.toString();
    }
}
