package org.fuchsialever.node.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import org.fuchsialever.decisions.batch.ScoringCall;
import org.fuchsialever.node.forward.AttemptReader;
import org.fuchsialever.services.exchange.ContentVerdict;
import org.junit.jupiter.api.Test;

class ItemScoringHandlerTest {

    /** Guards against a score that never arrives because its body drips without end. */
    @Test
    void bytesOfTheBodyDoNotProlongTheTimeLimit() {
        ItemScoringHandler handler =
                new ItemScoringHandler(
                        new ScoringCall("s", "h", "/p", new byte[0]),
                        1_000,
                        new UpstreamProtocolStub(),
                        score -> {},
                        reason -> {});
        AttemptReader reader = handler.reader(1);
        reader.onHead(200, new DefaultHttpHeaders());
        assertThat(reader.onContent(new byte[1]), is(ContentVerdict.NO_PROGRESS));
    }
}
