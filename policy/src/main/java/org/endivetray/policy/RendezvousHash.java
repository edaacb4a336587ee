package org.endivetray.policy;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Assigns keys to daemons by rendezvous (highest random weight) hashing.
 *
 * <p>When a daemon leaves, only the keys that it owned change owner; when one joins, only the keys
 * that it takes over do.
 *
 * <p>This class has no state and is thread-safe.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Returns the daemon that owns the key, or empty if there is no daemon.
     *
     * @param key the key, not null
     * @param daemons names of the live daemons, not null
     */
    public static Optional<String> owner(String key, Collection<String> daemons) {
        return daemons.stream()
                .max(
                        Comparator.<String>comparingLong(daemon -> weight(key, daemon))
                                .thenComparing(Comparator.naturalOrder()));
    }

    private static long weight(String key, String daemon) {
        byte[] bytes = (daemon + '\n' + key).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes)[0];
    }
}
