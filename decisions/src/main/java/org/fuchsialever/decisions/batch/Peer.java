package org.fuchsialever.decisions.batch;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32;

/**
 * A live instance that accepts submissions.
 *
 * @param instance its name
 * @param startId ID of its process, which differs after a restart
 */
public record Peer(String instance, String startId) {

    /**
     * Orders instances by rendezvous hashing, so that a subject keeps its instance and few subjects
     * move when an instance joins or leaves.
     *
     * @param peers the instances, in any order
     * @param subject key of what is assigned to an instance
     */
    public static List<Peer> ranked(Collection<Peer> peers, String subject) {
        return peers.stream()
                .sorted(
                        Comparator.comparingLong((Peer peer) -> weight(peer, subject))
                                .reversed()
                                .thenComparing(Peer::instance))
                .toList();
    }

    private static long weight(Peer peer, String subject) {
        long hash = ((long) checksum(subject) << 32) ^ checksum(peer.instance);
        // CRC-32 values of similar names are similar; the SplitMix64 finalizer spreads them.
        hash = (hash ^ (hash >>> 30)) * 0xBF58476D1CE4E5B9L;
        hash = (hash ^ (hash >>> 27)) * 0x94D049BB133111EBL;
        return (hash ^ (hash >>> 31)) >>> 1;
    }

    private static int checksum(String text) {
        CRC32 checksum = new CRC32();
        checksum.update(text.getBytes(StandardCharsets.UTF_8));
        return (int) checksum.getValue();
    }
}
