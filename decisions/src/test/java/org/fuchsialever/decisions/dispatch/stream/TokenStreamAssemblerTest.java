package org.fuchsialever.decisions.dispatch.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fuchsialever.decisions.model.TokenRange;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;
import org.junit.jupiter.api.Test;

/** Guards against lost, duplicated and wrongly attributed tokens in resumed streams. */
class TokenStreamAssemblerTest {
    private static final UpstreamId FIRST = new UpstreamId("engine-1");
    private static final UpstreamId SECOND = new UpstreamId("engine-2");

    private final TokenStreamAssembler mSplice = new TokenStreamAssembler();

    /**
     * Attempts end early, repeat or skip tokens and omit metadata at random; the result is exact.
     */
    @Property(tries = 500, seed = "20261204")
    void deliversEveryTokenOnceWithTheVersionStatedForIt(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int length) {
        Random random = new Random(seed);
        TokenStreamAssembler subject = new TokenStreamAssembler();
        List<String> delivered = new ArrayList<>();
        List<TokenRange> expectedRanges = new ArrayList<>();
        int attempt = 0;
        while (delivered.size() < length) {
            attempt++;
            UpstreamId engine = new UpstreamId("engine-" + random.nextInt(3));
            int resumeFrom = subject.begin(attempt, engine);
            assertThat(resumeFrom, is(delivered.size()));
            int index = Math.max(0, resumeFrom - random.nextInt(3));
            int end = Math.min(length, index + 1 + random.nextInt(10));
            boolean faulty = random.nextInt(4) == 0;
            while (index < end) {
                boolean hasVersion = !faulty || random.nextInt(5) > 0;
                boolean sameStart = !faulty || random.nextInt(5) > 0;
                int skipped = faulty && random.nextInt(5) == 0 ? 1 : 0;
                long version = random.nextInt(3);
                EngineChunk chunk =
                        new EngineChunk(
                                Option.some(sameStart ? "s" + attempt : "other"),
                                hasVersion
                                        ? Option.some(new WeightVersion(version))
                                        : Option.none(),
                                index + skipped,
                                "t" + (index + skipped));
                ChunkVerdict verdict = subject.accept(attempt, chunk);
                if (verdict == ChunkVerdict.DELIVER) {
                    delivered.add(chunk.text());
                    int at = delivered.size() - 1;
                    expectedRanges.add(
                            new TokenRange(at, at + 1, new WeightVersion(version), engine));
                }
                if (random.nextInt(6) == 0) {
                    assertThat(subject.accept(attempt - 1, chunk), is(ChunkVerdict.LATE));
                }
                index += 1 + skipped;
            }
        }
        for (int i = 0; i < length; i++) {
            assertThat(delivered.get(i), equalTo("t" + i));
        }
        assertThat(splitByToken(subject.ranges()), equalTo(expectedRanges));
    }

    @Test
    void mergesAdjacentTokensAndSplitsAtAChangeOfVersionOrUpstream() {
        mSplice.begin(1, FIRST);
        mSplice.accept(1, chunk("a", 0, 4));
        mSplice.accept(1, chunk("a", 1, 4));
        mSplice.accept(1, chunk("a", 2, 5));
        mSplice.begin(2, SECOND);
        mSplice.accept(2, chunk("b", 3, 5));

        assertThat(
                mSplice.ranges(),
                contains(
                        new TokenRange(0, 2, new WeightVersion(4), FIRST),
                        new TokenRange(2, 3, new WeightVersion(5), FIRST),
                        new TokenRange(3, 4, new WeightVersion(5), SECOND)));
    }

    @Test
    void countsDuplicatesAndDoesNotDeliverThem() {
        mSplice.begin(1, FIRST);
        mSplice.accept(1, chunk("a", 0, 4));

        assertThat(mSplice.accept(1, chunk("a", 0, 4)), is(ChunkVerdict.DUPLICATE));
        assertThat(mSplice.duplicates(), is(1L));
        assertThat(mSplice.nextToken(), is(1));
    }

    @Test
    void endsTheAttemptWhenTheEngineStartChanges() {
        mSplice.begin(1, FIRST);
        mSplice.accept(1, chunk("a", 0, 4));

        assertThat(mSplice.accept(1, chunk("b", 1, 4)), is(ChunkVerdict.ENGINE_START_CHANGED));
        assertThat(mSplice.accept(1, chunk("a", 1, 4)), is(ChunkVerdict.AFTER_DOUBT));
        assertThat(mSplice.begin(2, SECOND), is(1));
        assertThat(mSplice.accept(2, chunk("b", 1, 4)), is(ChunkVerdict.DELIVER));
    }

    @Test
    void endsTheAttemptWhenAVersionOrATokenIsMissing() {
        mSplice.begin(1, FIRST);
        EngineChunk unversioned = new EngineChunk(Option.some("a"), Option.none(), 0, "t");
        assertThat(mSplice.accept(1, unversioned), is(ChunkVerdict.NO_VERSION));
        mSplice.begin(2, FIRST);
        assertThat(mSplice.accept(2, chunk("a", 1, 4)), is(ChunkVerdict.GAP));
        assertThat(mSplice.ranges().isEmpty(), is(true));
    }

    private static EngineChunk chunk(String start, int index, long version) {
        return new EngineChunk(
                Option.some(start), Option.some(new WeightVersion(version)), index, "t" + index);
    }

    private static List<TokenRange> splitByToken(List<TokenRange> ranges) {
        List<TokenRange> single = new ArrayList<>();
        for (TokenRange range : ranges) {
            for (int i = range.from(); i < range.to(); i++) {
                single.add(new TokenRange(i, i + 1, range.version(), range.upstream()));
            }
        }
        return single;
    }
}
