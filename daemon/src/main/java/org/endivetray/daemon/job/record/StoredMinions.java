package org.endivetray.daemon.job.record;

import java.util.List;
import org.endivetray.job.MinionInfo;

/**
 * The stored form of the minions that may hold runs of a pool's tasks.
 *
 * <p>A minion is added before its first start and removed once nothing can run on it.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param minions the minions as they were registered, not null
 */
public record StoredMinions(List<MinionInfo> minions) {
    public StoredMinions {
        minions = List.copyOf(minions);
    }
}
