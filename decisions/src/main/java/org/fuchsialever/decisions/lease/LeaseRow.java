package org.fuchsialever.decisions.lease;

/** A row of the lease table. */
public sealed interface LeaseRow {

    /** Returns the key of the row. */
    String key();

    /** Returns the version of the row, 0 for one that has not been written. */
    long version();

    /** Returns the identity of the commit that wrote the row. */
    String writer();

    /** Returns this row as a commit has written it. */
    LeaseRow writtenBy(String newWriter, long newVersion);

    /**
     * The session of an instance that holds roles.
     *
     * @param key its key, which begins with {@link #PREFIX}
     * @param version its version
     * @param writer identity of the commit that wrote it
     * @param dead whether a challenger has ended the session
     */
    record Session(String key, long version, String writer, boolean dead) implements LeaseRow {
        /** Prefix of the keys of sessions. */
        public static final String PREFIX = "session/";

        /** Returns the key of a session. */
        public static String keyOf(String instance, String start, int number) {
            return PREFIX + instance + "/" + start + "/" + number;
        }

        /** Returns the instance that a session key names. */
        public static String instanceOf(String key) {
            int end = key.indexOf('/', PREFIX.length());
            return end < 0 ? "" : key.substring(PREFIX.length(), end);
        }

        @Override
        public Session writtenBy(String newWriter, long newVersion) {
            return new Session(key, newVersion, newWriter, dead);
        }
    }

    /**
     * A role.
     *
     * @param role its name
     * @param version its version
     * @param writer identity of the commit that wrote it
     * @param holder key of the holder's session, empty if the role was given up
     * @param successor instance for which the role was given up, empty if for any
     * @param fencing number that grows by one with each holder
     */
    record Role(
            String role, long version, String writer, String holder, String successor, long fencing)
            implements LeaseRow {
        /** Prefix of the keys of roles. */
        public static final String PREFIX = "role/";

        /** Returns a role that has no row yet. */
        static Role absent(String role) {
            return new Role(role, 0, "", "", "", 0);
        }

        Role takenBy(String session) {
            return new Role(role, version, writer, session, "", fencing + 1);
        }

        Role releasedFor(String instance) {
            return new Role(role, version, writer, "", instance, fencing);
        }

        @Override
        public String key() {
            return PREFIX + role;
        }

        @Override
        public Role writtenBy(String newWriter, long newVersion) {
            return new Role(role, newVersion, newWriter, holder, successor, fencing);
        }
    }

    /**
     * A request to hand a role over.
     *
     * @param role the role
     * @param version its version
     * @param writer identity of the commit that wrote it
     * @param bidder the instance that asks for the role
     */
    record Bid(String role, long version, String writer, String bidder) implements LeaseRow {
        /** Prefix of the keys of bids. */
        public static final String PREFIX = "bid/";

        @Override
        public String key() {
            return PREFIX + role;
        }

        @Override
        public Bid writtenBy(String newWriter, long newVersion) {
            return new Bid(role, newVersion, newWriter, bidder);
        }
    }
}
