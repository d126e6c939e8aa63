package org.fuchsialever.cli.keys;

import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.security.SecureRandom;
import java.time.Instant;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;
import org.fuchsialever.cli.platform.OperatorClient;
import org.fuchsialever.cli.platform.PlatformSession;
import org.fuchsialever.decisions.keys.KeyHash;
import org.fuchsialever.decisions.keys.KeyRecord;
import org.fuchsialever.decisions.keys.KeyRow;
import org.fuchsialever.decisions.keys.PresentedKey;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.Names;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.node.keys.KeyRows;
import org.fuchsialever.node.keys.WithdrawalWriter;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.CommitResult;
import org.fuchsialever.services.ListedInstance;
import org.fuchsialever.services.Row;

/** Grants, lists and withdraws keys during one run of the command. */
final class KeyAdministration {
    private static final int ID_BYTES = 6;
    private static final int SALT_BYTES = 16;
    private static final int SECRET_BYTES = 32;
    private static final int MAX_STORE_RETRIES = 4;
    private static final long STORE_RETRY_DELAY_MILLIS = 200;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final PlatformSession mSession;
    private final boolean mJson;
    private final SecureRandom mRandom = new SecureRandom();

    KeyAdministration(PlatformSession session, boolean json) {
        mSession = session;
        mJson = json;
    }

    ExitCode grant(String team, long lifetimeMillis, CommandContext context) {
        if (!Names.isValid(team)) {
            throw new ParameterException("a team name needs " + Names.RULE);
        }
        PresentedKey key = new PresentedKey(new KeyId(hex(ID_BYTES)), hex(SECRET_BYTES));
        long expires = lifetimeMillis == 0 ? 0 : System.currentTimeMillis() + lifetimeMillis;
        KeyRecord granted =
                new KeyRecord(
                        key.id(),
                        new TeamName(team),
                        KeyHash.of(hex(SALT_BYTES), key.secret()),
                        expires,
                        false);
        CommitResult result =
                PlatformSession.await(mSession.commitRetrier().commit(insertion(granted)));
        if (result instanceof CommitResult.Conflict) {
            context.err().println("Nothing was changed: key " + key.id() + " exists.");
            return ExitCode.CONFLICT;
        }
        ObjectNode body = MAPPER.createObjectNode();
        body.put("id", key.id().value()).put("team", team).put("key", key.text());
        context.out().println(mJson ? body.toString() : key.text());
        return ExitCode.OK;
    }

    ExitCode list(CommandContext context) {
        ArrayNode keys = MAPPER.createArrayNode();
        boolean damaged = false;
        for (Row row :
                PlatformSession.await(mSession.platform().tables().scan(KeyRows.TABLE, "", 0))) {
            Either<String, KeyRow> key = KeyRows.decode(row);
            if (key.isLeft()) {
                context.err().println("Key " + row.key() + ": " + key.getLeft());
                damaged = true;
                continue;
            }
            KeyRecord record = key.get().key();
            keys.addObject()
                    .put("id", record.id().value())
                    .put("team", record.team().value())
                    .put("expires_millis", record.expiresMillis())
                    .put("withdrawn", record.withdrawn());
            if (!mJson) {
                context.out().println(line(record));
            }
        }
        if (mJson) {
            context.out().println(MAPPER.createObjectNode().set("keys", keys).toString());
        }
        return damaged ? ExitCode.USAGE : ExitCode.OK;
    }

    /**
     * Withdraws a key. The withdrawal is also sent directly to the instances, so that it takes
     * effect even if the table service is unavailable.
     */
    ExitCode withdraw(String id, CommandContext context) throws InterruptedException {
        if (!Names.isValid(id)) {
            throw new ParameterException("a key id needs " + Names.RULE);
        }
        // Started before the instances receive the withdrawal, so that most of them find the row
        // already written and do not write it themselves.
        WithdrawalWriter writer =
                new WithdrawalWriter(mSession.platform().tables(), mSession.writerId());
        CompletableFuture<Boolean> firstAttempt = writer.store(new KeyId(id)).toFuture();
        OperatorClient client = new OperatorClient(mSession.platform().instances());
        Option<List<ListedInstance>> listed = client.listInstances();
        Set<String> unconfirmed = new TreeSet<>();
        Set<String> confirmed = Set.of();
        if (listed.isDefined()) {
            listed.get().forEach(instance -> unconfirmed.add(instance.instance().value()));
            confirmed = client.withdrawKey(listed.get(), id);
            unconfirmed.removeAll(confirmed);
        } else {
            unconfirmed.add("(the instance list cannot be read)");
        }
        boolean stored =
                Try.of(firstAttempt::get).getOrElse(false)
                        || retryStore(writer, new KeyId(id), context);
        context.out().println("Confirmed by: " + String.join(", ", confirmed));
        if (!stored) {
            context.err().println("The table service has not stored the withdrawal yet.");
            if (confirmed.isEmpty()) {
                return ExitCode.FAILURE;
            }
        }
        if (!unconfirmed.isEmpty()) {
            context.err().println("Not confirmed by: " + String.join(", ", unconfirmed));
            return ExitCode.UNCONFIRMED;
        }
        return ExitCode.OK;
    }

    private static boolean retryStore(WithdrawalWriter writer, KeyId key, CommandContext context)
            throws InterruptedException {
        for (int attempt = 1; attempt <= MAX_STORE_RETRIES; attempt++) {
            if (context.stop().await(STORE_RETRY_DELAY_MILLIS * attempt, TimeUnit.MILLISECONDS)) {
                return false;
            }
            if (Try.of(() -> PlatformSession.await(writer.store(key))).getOrElse(false)) {
                return true;
            }
        }
        return false;
    }

    private Commit insertion(KeyRecord key) {
        String id = key.id().value();
        return new Commit(
                mSession.writerId(),
                List.of(new Commit.Condition(KeyRows.TABLE, id, 0)),
                List.of(new Commit.Put(KeyRows.TABLE, id, key.encode())),
                List.of());
    }

    private String hex(int bytes) {
        byte[] content = new byte[bytes];
        mRandom.nextBytes(content);
        return HexFormat.of().formatHex(content);
    }

    private static String line(KeyRecord key) {
        String expiry =
                key.expiresMillis() == 0
                        ? "does not expire"
                        : "expires " + Instant.ofEpochMilli(key.expiresMillis());
        return "%s  team %s  %s%s"
                .formatted(key.id(), key.team(), expiry, key.withdrawn() ? "  withdrawn" : "");
    }
}
