package org.fuchsialever.services.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.netty.resources.LoopResources;

class ExchangeClientTest {
    private static final long TEST_TIMEOUT_SECONDS = 30;
    private static final Duration TIME_LIMIT = Duration.ofMillis(2_000);
    private static final int OK = 200;
    private static final int REFUSED = 503;
    private static final String UNNAMED_REFUSAL =
            "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull";

    private volatile int mStatus;
    private final LoopResources mLoops = LoopResources.create("exchange-test", 1, true);
    private final ExchangeClient mClient = new ExchangeClient(mLoops, new SimpleMeterRegistry());

    @AfterEach
    void release() {
        mClient.close();
        mLoops.dispose();
    }

    @Test
    void readsACompleteResponseAndReusesItsConnection() throws Exception {
        try (ScriptedServer server =
                new ScriptedServer(response("1", "one"), response("2", "two"))) {
            assertThat(send(server, "1"), is("COMPLETE one"));
            assertThat(send(server, "2"), is("COMPLETE two"));
            assertThat(server.connections(), is(1));
        }
    }

    @Test
    void skipsAResponseToAnEarlierRequest() throws Exception {
        try (ScriptedServer server =
                new ScriptedServer(
                        response("1", "one"), response("1", "late") + response("2", "two"))) {
            assertThat(send(server, "1"), is("COMPLETE one"));
            assertThat(send(server, "2"), is("COMPLETE two"));
        }
    }

    @Test
    void closesAConnectionThatReceivesMoreThanTheResponse() throws Exception {
        try (ScriptedServer server =
                new ScriptedServer(
                        response("1", "one") + response("1", "again"), response("2", "two"))) {
            assertThat(send(server, "1"), is("COMPLETE one"));
            assertThat(send(server, "2"), is("COMPLETE two"));
            assertThat(server.connections(), is(2));
        }
    }

    /** Guards against attempts without an end: an exception is thrown in the event loop. */
    @Test
    void endsARequestToAnImpossibleAddress() throws Exception {
        assertThat(send(99_999, "GET", "1", ContentVerdict.PROGRESS), is("NOT_CONNECTED "));
    }

    /** Guards against responses that are passed on as whole though their head was cut. */
    @Test
    void doesNotAcceptAHeadThatIsCutAnywhereAsAResponse() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n";
        for (int length = 1; length < head.length(); length++) {
            String cut = head.substring(0, length);
            try (ScriptedServer server = new ScriptedServer(cut + ScriptedServer.CLOSE)) {
                String outcome = send(server, "1");
                assertThat(cut, outcome.startsWith("COMPLETE"), is(false));
            }
        }
    }

    @Test
    void doesNotAcceptATruncatedBodyAsComplete() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\n";
        try (ScriptedServer server = new ScriptedServer(head + "shor" + ScriptedServer.CLOSE)) {
            assertThat(send(server, "1"), is("LOST shor"));
        }
    }

    @Test
    void acceptsABodyWithoutLengthAsCompleteUnlessItsConnectionIsReset() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n";
        try (ScriptedServer server = new ScriptedServer(head + "all" + ScriptedServer.CLOSE)) {
            assertThat(send(server, "1"), is("COMPLETE all"));
        }
        try (ScriptedServer server = new ScriptedServer(head + "all" + ScriptedServer.RESET)) {
            assertThat(send(server, "1").split(" ")[0], is("LOST"));
        }
    }

    @Test
    void detectsBytesThatAreNotAResponse() throws Exception {
        try (ScriptedServer server = new ScriptedServer("garbage without a meaning\r\n\r\n")) {
            assertThat(send(server, "1"), is("MALFORMED "));
        }
    }

    /** Guards against statuses that are none, which a caller would get with the body. */
    @Test
    void acceptsNoResponseWhoseStatusIsNotOneOfHttp() throws Exception {
        for (String status :
                new String[] {
                    "000",
                    "099",
                    "600",
                    "999",
                    "1000",
                    "0200",
                    "200200",
                    "+200",
                    "-200",
                    "20",
                    "2",
                    "2x0",
                    "0x200",
                    "\u0662\u0660\u0660",
                    "200,"
                }) {
            String head = "HTTP/1.1 " + status + " OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nall";
            try (ScriptedServer server = new ScriptedServer(head, response("2", "two"))) {
                assertThat(status, send(server, "1"), is("MALFORMED "));
                assertThat(status, send(server, "2"), is("COMPLETE two"));
                assertThat(status, server.connections(), is(2));
            }
        }
    }

    @Test
    void endsAnExchangeOnASilentConnection() throws Exception {
        try (ScriptedServer server = new ScriptedServer("")) {
            assertThat(send(server, "1"), is("SILENT "));
        }
    }

    @Test
    void neverLendsAConnectionWithBytesThatBelongToNoResponse() throws Exception {
        try (ScriptedServer server =
                new ScriptedServer(response("1", "one") + "HTTP/1.", response("2", "two"))) {
            assertThat(send(server, "1"), is("COMPLETE one"));
            assertThat(send(server, "2"), is("COMPLETE two"));
            assertThat(server.connections(), is(2));
        }
    }

    @Test
    void skipsALateCopyOfAnEarlierResponseThatArrivesInPlaceOfTheNext() throws Exception {
        try (ScriptedServer server =
                new ScriptedServer(
                        response("1", "one"),
                        response("1", "one") + response("1", "one") + response("2", "two"))) {
            assertThat(send(server, "1"), is("COMPLETE one"));
            assertThat(send(server, "2"), is("COMPLETE two"));
        }
    }

    /** Guards against a copy of the first response to a request that is sent again. */
    @Test
    void takesNoCopyOfTheFirstResponseWhenARequestIsSentAgain() throws Exception {
        try (ScriptedServer server =
                new ScriptedServer(
                        response("1", "first"),
                        ScriptedServer.AGAIN + response("1", "second"),
                        ScriptedServer.AGAIN + response("2", "two"))) {
            assertThat(send(server, "1"), is("COMPLETE first"));
            assertThat(send(server, "1"), is("COMPLETE second"));
            assertThat(send(server, "2"), is("COMPLETE two"));
            assertThat(server.connections(), is(2));
        }
    }

    /** Guards against a refusal without an ID that arrives a second time, for another request. */
    @Test
    void takesNoCopyOfAResponseThatNamesNoRequest() throws Exception {
        try (ScriptedServer server =
                new ScriptedServer(UNNAMED_REFUSAL, ScriptedServer.AGAIN + response("2", "two"))) {
            assertThat(send(server, "1"), is("COMPLETE full"));
            assertThat(send(server, "2"), is("COMPLETE two"));
        }
    }

    /** Guards against a status of an earlier response over the body of the next one. */
    @Test
    void neverLendsAConnectionThatIsInTheMiddleOfAHead() throws Exception {
        String begun = "HTTP/1.1 503 Full\r\n";
        try (ScriptedServer server =
                new ScriptedServer(response("1", "one") + begun, response("2", "two"))) {
            assertThat(send(server, "1"), is("COMPLETE one"));
            assertThat(send(server, "2"), is("COMPLETE two"));
            assertThat(server.connections(), is(2));
        }
    }

    /** Guards against a head that is cut off and completed by the head of the next response. */
    @Test
    void acceptsNoResponseThatIsJoinedFromACopyAndTheNextOne() throws Exception {
        String copy =
                "HTTP/1.1 503 Service Unavailable\r\nLoad: 1,2,3\r\nId: 1\r\n"
                        + "Content-Length: 4\r\n\r\nfull";
        for (int cut = 1; cut < copy.length(); cut++) {
            try (ScriptedServer server =
                    new ScriptedServer(
                            response("1", "one"), copy.substring(0, cut) + response("2", "two"))) {
                assertThat(send(server, "1"), is("COMPLETE one"));
                String result = send(server, "2");
                boolean own = result.equals("COMPLETE two") && mStatus == OK;
                assertThat(cut + " " + result, own || !result.startsWith("COMPLETE"));
            }
        }
    }

    /** Guards against a cut copy, with chunks or a long body, that takes a part of the next one. */
    @Test
    void acceptsNoResponseOfWhichACutCopyHasTakenAPart() throws Exception {
        String chunked =
                "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "5\r\nabcde\r\n3\r\nfgh\r\n0\r\n\r\n";
        String framed =
                response("1", "a long body that was cut somewhere on its way to us ".repeat(3));
        for (String copy : new String[] {chunked, framed}) {
            for (int cut = 1; cut < copy.length(); cut++) {
                try (ScriptedServer server =
                        new ScriptedServer(
                                response("1", "one"),
                                copy.substring(0, cut)
                                        + response("2", "two\r\n\r\n")
                                        + ScriptedServer.CLOSE)) {
                    assertThat(send(server, "1"), is("COMPLETE one"));
                    String result = send(server, "2");
                    boolean own = result.equals("COMPLETE two\r\n\r\n") && mStatus == OK;
                    assertThat(cut + " " + result, own || !result.startsWith("COMPLETE"));
                }
            }
        }
    }

    @Test
    void skipsACopyOfTheResponseToAHeadRequest() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\n";
        try (ScriptedServer server =
                new ScriptedServer(head, ScriptedServer.AGAIN + response("2", "two"))) {
            assertThat(send(server, "HEAD", "1", ContentVerdict.PROGRESS), is("COMPLETE "));
            assertThat(send(server, "2"), is("COMPLETE two"));
        }
    }

    @Test
    void skipsACopyWithABodyWhileItWaitsForTheResponseToAHeadRequest() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 9\r\n\r\n";
        try (ScriptedServer server =
                new ScriptedServer(response("1", "one"), ScriptedServer.AGAIN + head)) {
            assertThat(send(server, "1"), is("COMPLETE one"));
            assertThat(send(server, "HEAD", "2", ContentVerdict.PROGRESS), is("COMPLETE "));
        }
    }

    @Test
    void replacesAConnectionThatHasCarriedAsManyRequestsAsItMay() throws Exception {
        String[] responses = new String[CarriedRequests.MAX_REQUESTS + 1];
        for (int id = 0; id < responses.length; id++) {
            responses[id] = response(Integer.toString(id), "body");
        }
        try (ScriptedServer server = new ScriptedServer(responses)) {
            for (int id = 0; id < responses.length; id++) {
                assertThat(send(server, Integer.toString(id)), is("COMPLETE body"));
            }
            assertThat(server.connections(), is(2));
        }
    }

    @Test
    void waitsForNoBodyOfAResponseToAHeadRequest() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\n";
        try (ScriptedServer server = new ScriptedServer(head)) {
            assertThat(send(server, "HEAD", "1", ContentVerdict.PROGRESS), is("COMPLETE "));
        }
    }

    @Test
    void endsAStalledResponseAlthoughASingleByteArrivesNowAndThen() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n";
        try (ScriptedServer server = new ScriptedServer(head + ScriptedServer.DRIP)) {
            String end = send(server, "GET", "1", ContentVerdict.NO_PROGRESS);
            assertThat(end.split(" ")[0], is("SILENT"));
        }
    }

    @Test
    void endsAResponseWhoseBodyIsInvalidWithoutReadingItToItsEnd() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n";
        try (ScriptedServer server = new ScriptedServer(head + ScriptedServer.FLOOD)) {
            String end = send(server, "GET", "1", ContentVerdict.INVALID);
            assertThat(end.split(" ")[0], is("MALFORMED"));
        }
    }

    @Test
    void boundsHeadsWithoutEnd() throws Exception {
        for (String begin :
                new String[] {
                    "", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nId: ", "HTTP/1.1 200 OK\r\nId: 1\r\n"
                }) {
            try (ScriptedServer server = new ScriptedServer(begin + ScriptedServer.FLOOD)) {
                assertThat(begin, send(server, "1"), is("MALFORMED "));
            }
        }
    }

    @Test
    void refusesAResponseWithTwoLengths() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\n";
        try (ScriptedServer server = new ScriptedServer(head + "abcde")) {
            assertThat(send(server, "1"), is("MALFORMED "));
        }
    }

    @Test
    void skipsInterimResponsesHoweverManyArrive() throws Exception {
        String interim = "HTTP/1.1 103 Early Hints\r\nId: 1\r\n\r\n".repeat(1_000);
        try (ScriptedServer server = new ScriptedServer(interim + response("1", "one"))) {
            assertThat(send(server, "1"), is("COMPLETE one"));
        }
    }

    @Test
    void waitsForNoBodyOfAResponseThatCanHaveNone() throws Exception {
        for (String status : new String[] {"204 No Content", "304 Not Modified"}) {
            String head = "HTTP/1.1 " + status + "\r\nId: 1\r\nContent-Length: 9\r\n\r\n";
            try (ScriptedServer server =
                    new ScriptedServer(head + "surprise!", response("2", "two"))) {
                assertThat(send(server, "1"), is("COMPLETE "));
                assertThat(send(server, "2"), is("COMPLETE two"));
                assertThat(status, server.connections(), is(2));
            }
        }
    }

    @Test
    void boundsTrailersAndChunkExtensionsWithoutEnd() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (String begin : new String[] {"5;x=", "0\r\nTrailer: "}) {
            try (ScriptedServer server = new ScriptedServer(head + begin + ScriptedServer.FLOOD)) {
                assertThat(begin, send(server, "1").split(" ")[0], is("MALFORMED"));
            }
        }
    }

    @Test
    void endsAnExchangeThatReceivesOtherResponsesWithoutEnd() throws Exception {
        String foreign = "HTTP/1.1 200 OK\r\nId: 7\r\n\r\n";
        try (ScriptedServer server = new ScriptedServer(foreign + ScriptedServer.FLOOD)) {
            assertThat(sendWithLongTimeLimit(server), is("MALFORMED "));
        }
    }

    /** Guards against an event loop that reads other responses until the time limit of a call. */
    @Test
    void boundsTheBytesOfOtherResponsesAndNotOnlyTheirTime() throws Exception {
        String interim = "HTTP/1.1 103 Early Hints\r\nId: 1\r\n\r\n".repeat(150_000);
        String copies = response("7", "x".repeat(1_000)).repeat(5_000);
        for (String endless : new String[] {interim, copies}) {
            try (ScriptedServer server = new ScriptedServer(endless)) {
                assertThat(sendWithLongTimeLimit(server), is("MALFORMED "));
            }
        }
    }

    @Test
    void skipsALateCopyOfALongResponse() throws Exception {
        String late = response("1", "x".repeat(3_000_000));
        try (ScriptedServer server =
                new ScriptedServer(response("1", "one"), late + response("2", "two"))) {
            assertThat(send(server, "1"), is("COMPLETE one"));
            assertThat(send(server, "2"), is("COMPLETE two"));
        }
    }

    @Test
    void reportsThatNothingWasSentWhenNoConnectionIsOpened() throws Exception {
        ScriptedServer server = new ScriptedServer();
        server.close();
        assertThat(send(server, "1"), is("NOT_CONNECTED "));
    }

    private String send(ScriptedServer server, String id) throws Exception {
        return send(server, "GET", id, ContentVerdict.PROGRESS);
    }

    private String send(ScriptedServer server, String method, String id, ContentVerdict verdict)
            throws Exception {
        return send(server.port(), method, id, verdict);
    }

    /** The bytes up to a bound take longer than the usual time limit on a busy machine. */
    private String sendWithLongTimeLimit(ScriptedServer server) throws Exception {
        Duration limit = Duration.ofSeconds(TEST_TIMEOUT_SECONDS - 5);
        return send(server.port(), "GET", "1", ContentVerdict.PROGRESS, limit);
    }

    private String send(int port, String method, String id, ContentVerdict verdict)
            throws Exception {
        return send(port, method, id, verdict, TIME_LIMIT);
    }

    private String send(
            int port, String method, String id, ContentVerdict verdict, Duration timeLimit)
            throws Exception {
        CompletableFuture<String> result = new CompletableFuture<>();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        ExchangeRequest request =
                new ExchangeRequest(
                        "127.0.0.1",
                        port,
                        method,
                        "/",
                        new DefaultHttpHeaders().set("Host", "h"),
                        new byte[0],
                        id,
                        head -> match(id, head),
                        timeLimit,
                        timeLimit);
        mClient.send(
                request,
                new ExchangeListener() {
                    @Override
                    public void onHead(int status, HttpHeaders headers) {
                        mStatus = status;
                    }

                    @Override
                    public ContentVerdict onContent(byte[] bytes) {
                        body.writeBytes(bytes);
                        return verdict;
                    }

                    @Override
                    public void onEnd(ExchangeOutcome outcome) {
                        result.complete(outcome + " " + body.toString(StandardCharsets.US_ASCII));
                    }
                });
        return result.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static ResponseMatch match(String id, ExchangeRequest.ResponseHead head) {
        String named = head.headers().get("Id");
        if (named == null) {
            return head.status() == REFUSED ? ResponseMatch.UNNAMED : ResponseMatch.FOREIGN;
        }
        return id.equals(named) ? ResponseMatch.NAMED : ResponseMatch.FOREIGN;
    }

    private static String response(String id, String body) {
        return "HTTP/1.1 200 OK\r\nId: "
                + id
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }
}
