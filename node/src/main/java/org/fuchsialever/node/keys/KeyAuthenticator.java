package org.fuchsialever.node.keys;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Locale;
import java.util.function.Supplier;
import org.fuchsialever.decisions.config.Access;
import org.fuchsialever.decisions.config.Route;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.keys.KeyRecord;
import org.fuchsialever.decisions.keys.KeyView;
import org.fuchsialever.frontend.Authenticator;
import org.fuchsialever.frontend.Caller;
import org.fuchsialever.kernel.time.TimeSource;

/** Authenticates callers against the keys that this instance knows. */
final class KeyAuthenticator implements Authenticator {
    private static final String SCHEME = "bearer ";

    private final Supplier<KeyView> mViews;
    private final TimeSource mTime;

    KeyAuthenticator(Supplier<KeyView> views, TimeSource time) {
        mViews = views;
        mTime = time;
    }

    @Override
    public Either<RefusalReason, Caller> authenticate(Option<String> authorization, Route route) {
        Option<String> presented = authorization.flatMap(KeyAuthenticator::bearerToken);
        if (route.access() == Access.OPEN) {
            // Open routes serve anonymous callers, so an invalid key does not cause a refusal.
            return Either.right(
                    presented
                            .toEither(RefusalReason.KEY_MISSING)
                            .flatMap(this::check)
                            .map(KeyAuthenticator::caller)
                            .getOrElse(Caller.anonymous()));
        }
        return presented
                .toEither(RefusalReason.KEY_MISSING)
                .flatMap(this::check)
                .filterOrElse(
                        key -> route.allows(key.team()), key -> RefusalReason.TEAM_NOT_ALLOWED)
                .map(KeyAuthenticator::caller);
    }

    private Either<RefusalReason, KeyRecord> check(String presentedKey) {
        KeyView view = mViews.get();
        return view.usable()
                ? view.table().check(presentedKey, mTime.wallMillis())
                : Either.left(RefusalReason.KEYS_STALE);
    }

    private static Caller caller(KeyRecord key) {
        return new Caller(key.team(), Option.some(key.id()));
    }

    private static Option<String> bearerToken(String header) {
        boolean matches = header.toLowerCase(Locale.ROOT).startsWith(SCHEME);
        return matches ? Option.some(header.substring(SCHEME.length()).strip()) : Option.none();
    }
}
