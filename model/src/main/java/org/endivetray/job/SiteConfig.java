package org.endivetray.job;

import java.util.List;
import java.util.Optional;

/**
 * One version of the operators' configuration of a site's queues and pools.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param version version number, higher after each change
 * @param queues the queues, not null
 * @param pools the pools, not null
 * @param accounts the client accounts, not null
 */
public record SiteConfig(
        long version, List<QueueConfig> queues, List<PoolConfig> pools, ClientAccounts accounts) {
    public SiteConfig {
        queues = List.copyOf(queues);
        pools = List.copyOf(pools);
        accounts = accounts.withVersion(version);
    }

    /** Constructs a configuration without client accounts. */
    public SiteConfig(long version, List<QueueConfig> queues, List<PoolConfig> pools) {
        this(version, queues, pools, ClientAccounts.NONE);
    }

    /**
     * Returns the queue whose prefix is the longest one that matches a path, or empty if none does.
     *
     * @param host the caller's host name, not null
     * @param path the caller's path, not null
     */
    public Optional<QueueConfig> queueAt(String host, String path) {
        QueueConfig best = null;
        for (QueueConfig queue : queues) {
            boolean matches = queue.host().equalsIgnoreCase(host) && matches(path, queue.prefix());
            if (matches && (best == null || queue.prefix().length() > best.prefix().length())) {
                best = queue;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean matches(String path, String prefix) {
        return path.startsWith(prefix) || prefix.equals(path + "/");
    }

    /** Returns the queue with the given name, or empty if there is none. */
    public Optional<QueueConfig> queue(String name) {
        return queues.stream().filter(queue -> queue.name().equals(name)).findFirst();
    }

    /** Returns the pool with the given name, or empty if there is none. */
    public Optional<PoolConfig> pool(String name) {
        return pools.stream().filter(pool -> pool.name().equals(name)).findFirst();
    }
}
