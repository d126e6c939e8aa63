package org.fuchsialever.decisions.batch;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32;

/**
 * An instance that is alive and takes submissions.
 *
 * @param instance its name
 * @param startId identity of its process
 */
public record Peer(String instance, String startId) {

    /**
     * Orders instances by rendezvous hashing, so that submissions of one kind stay at one instance
     * and few of them move when an instance comes or goes.
     *
     * @param peers the instances
     * @param subject what is placed
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
        // Checksums of similar names are similar, so their bits are mixed as in SplitMix64.
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
