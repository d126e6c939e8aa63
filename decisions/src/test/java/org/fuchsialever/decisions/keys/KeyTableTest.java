package org.fuchsialever.decisions.keys;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vavr.control.Either;
import java.util.List;
import java.util.Set;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.TeamName;
import org.junit.jupiter.api.Test;

/** Guards against accepting a wrong, expired or withdrawn key, and against leaked secrets. */
class KeyTableTest {
    private static final String SECRET = "00112233445566778899aabbccddeeff";
    private static final String OTHER = "ff112233445566778899aabbccddeeff";

    @Test
    void acceptsEachKeyOfATeamWithItsOwnSecret() {
        KeyTable table =
                new KeyTable(
                        List.of(key("a", SECRET, 0, false), key("b_1", OTHER, 0, false)), Set.of());

        assertThat(table.check("fl_a_" + SECRET, 0).get().team(), is(new TeamName("alba")));
        assertThat(table.check("fl_b_1_" + OTHER, 0).get().id(), is(new KeyId("b_1")));
        assertThat(refusal(table, "fl_a_" + OTHER), is(RefusalReason.KEY_WRONG));
    }

    @Test
    void refusesAnUnknownKeyIdLikeAWrongSecret() {
        KeyTable table = new KeyTable(List.of(key("a", SECRET, 0, true)), Set.of());

        assertThat(refusal(table, "fl_zz_" + SECRET), is(RefusalReason.KEY_WRONG));
        assertThat(refusal(table, "fl_a_" + OTHER), is(RefusalReason.KEY_WRONG));
        assertThat(refusal(table, "no key"), is(RefusalReason.KEY_WRONG));
        assertThat(refusal(table, "fl_a_"), is(RefusalReason.KEY_WRONG));
    }

    @Test
    void refusesAnExpiredKeyFromItsLastMillisecondOn() {
        KeyTable table = new KeyTable(List.of(key("a", SECRET, 1_000, false)), Set.of());

        assertThat(table.check("fl_a_" + SECRET, 999).isRight(), is(true));
        assertThat(
                table.check("fl_a_" + SECRET, 1_000), is(Either.left(RefusalReason.KEY_EXPIRED)));
    }

    @Test
    void refusesAKeyThatIsWithdrawnByItsRecordOrByTheSetOfWithdrawals() {
        KeyRecord live = key("a", SECRET, 0, false);

        assertThat(
                refusal(new KeyTable(List.of(live.asWithdrawn()), Set.of()), "fl_a_" + SECRET),
                is(RefusalReason.KEY_WITHDRAWN));
        assertThat(
                refusal(new KeyTable(List.of(live), Set.of(new KeyId("a"))), "fl_a_" + SECRET),
                is(RefusalReason.KEY_WITHDRAWN));
    }

    @Test
    void storesNoSecretAndPrintsNone() {
        KeyRecord stored = key("a", SECRET, 5, false);

        assertThat(stored.encode(), not(containsString(SECRET)));
        assertThat(
                PresentedKey.parse("fl_a_" + SECRET).get().toString(), not(containsString(SECRET)));
        assertThat(KeyRecord.decode("a", stored.encode()), is(Either.right(stored)));
    }

    @Test
    void refusesADamagedRow() {
        assertThat(KeyRecord.decode("a", "team=alba\nsalt=1\nhash=2\n").isLeft(), is(true));
        assertThat(
                KeyRecord.decode("a", key("a", SECRET, 0, false).encode().replace("=no", "=maybe"))
                        .isLeft(),
                is(true));
    }

    private static RefusalReason refusal(KeyTable table, String text) {
        return table.check(text, 0).getLeft();
    }

    private static KeyRecord key(String id, String secret, long expires, boolean withdrawn) {
        return new KeyRecord(
                new KeyId(id),
                new TeamName("alba"),
                KeyHash.of("5a17" + id, secret),
                expires,
                withdrawn);
    }
}
