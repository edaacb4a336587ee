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
 * A fingerprint of everything that a plan was made from.
 *
 * <p>Invariants: two snapshots that agree on the pools, ledgers, host records and listed states of
 * a plan give the same fingerprint.
 *
 * <p>This class has no state and is thread-safe.
 */
final class PlanBasis {
    private PlanBasis() {}

    /** Returns the fingerprint for the intent and its steps. */
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
