package org.endivetray.daemon.fleet;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.codec.digest.MurmurHash3;
import org.endivetray.HostRecord;
import org.endivetray.Intent;
import org.endivetray.ListedHost;
import org.endivetray.ListedStatus;
import org.endivetray.PlanStep;
import org.endivetray.daemon.state.Snapshot;
import org.endivetray.daemon.state.StateKeys;

/**
 * Computes a fingerprint of the state from which a plan was made.
 *
 * <p>A plan may be confirmed only while the fingerprint is unchanged.
 *
 * <p>Invariants: two snapshots with the same pools, members, outages, host records and listed
 * statuses of a plan have the same fingerprint.
 *
 * <p>This class has no state and is thread-safe.
 */
final class PlanBasis {
    private PlanBasis() {}

    /** Returns the fingerprint of the state that the intent and the steps depend on. */
    static String of(Snapshot snapshot, Intent intent, Iterable<PlanStep> steps) {
        Set<String> pools = new TreeSet<>();
        for (PlanStep step : steps) {
            pools.add(step.fromPool());
            if (!step.toPool().isEmpty()) {
                pools.add(step.toPool());
            }
        }
        StringBuilder text = new StringBuilder();
        for (String pool : pools) {
            appendPool(snapshot, pool, text);
        }
        intent.pools().forEach(pool -> appendVersion(snapshot, StateKeys.POOL + pool.name(), text));
        intent.members()
                .forEach(member -> appendVersion(snapshot, StateKeys.MEMBER + member.name(), text));
        intent.joins()
                .forEach(join -> text.append(snapshot.fleet().record(join.worker())).append('\n'));
        long[] hash = MurmurHash3.hash128x64(text.toString().getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(hash[0]) + Long.toHexString(hash[1]);
    }

    private static void appendPool(Snapshot snapshot, String pool, StringBuilder text) {
        appendVersion(snapshot, StateKeys.POOL + pool, text);
        text.append(new TreeSet<>(snapshot.fleet().ledger(pool).outages().keySet()));
        for (HostRecord hostRecord : snapshot.fleet().recordsOf(pool)) {
            ListedStatus status =
                    snapshot.fleet()
                            .listed(hostRecord.worker())
                            .map(ListedHost::status)
                            .orElse(ListedStatus.DOWN);
            text.append(hostRecord.worker()).append(hostRecord.state()).append(status).append('\n');
        }
    }

    private static void appendVersion(Snapshot snapshot, String key, StringBuilder text) {
        text.append(key).append('@').append(snapshot.version(key)).append('\n');
    }
}
