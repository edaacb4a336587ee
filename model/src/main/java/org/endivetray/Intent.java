package org.endivetray;

import java.util.List;
import java.util.Map;

/**
 * An operator's wish, from which a plan is made.
 *
 * <p>Invariants: the kind is not null; absent texts are empty, absent lists are empty.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param kind what is asked for, not null
 * @param target the rack, worker, availability zone or pool meant, or empty
 * @param count number of workers for a loan, else 0
 * @param from the lending pool, or empty
 * @param to the borrowing pool, or empty
 * @param pools pools to create or replace
 * @param members members to create or replace
 * @param joins workers that join a pool, each as a record
 * @param expect version that each named record must have, by pool, empty if any will do
 */
public record Intent(
        IntentKind kind,
        String target,
        int count,
        String from,
        String to,
        List<Pool> pools,
        List<Member> members,
        List<HostRecord> joins,
        Map<String, Long> expect) {
    public Intent {
        if (kind == null) {
            throw new EndivetrayException(ResultCode.INVALID_INTENT, "kind must not be null");
        }
        target = target == null ? "" : target;
        from = from == null ? "" : from;
        to = to == null ? "" : to;
        pools = pools == null ? List.of() : List.copyOf(pools);
        members = members == null ? List.of() : List.copyOf(members);
        joins = joins == null ? List.of() : List.copyOf(joins);
        expect = expect == null ? Map.of() : Map.copyOf(expect);
    }

    /** Returns an intent about one rack, worker, availability zone or pool. */
    public static Intent of(IntentKind kind, String target) {
        return new Intent(kind, target, 0, "", "", List.of(), List.of(), List.of(), Map.of());
    }

    /** Returns an intent that lends workers between pools. */
    public static Intent ofLoan(int count, String from, String to) {
        return new Intent(
                IntentKind.LEND, "", count, from, to, List.of(), List.of(), List.of(), Map.of());
    }

    /** Returns an intent that changes configuration. */
    public static Intent ofConfiguration(
            List<Pool> pools,
            List<Member> members,
            List<HostRecord> joins,
            Map<String, Long> expect) {
        return new Intent(IntentKind.CONFIGURE, "", 0, "", "", pools, members, joins, expect);
    }

    /** Returns the intent in one line for people. */
    public String summary() {
        return switch (kind) {
            case LEND -> "lend " + count + " from " + from + " to " + to;
            case CONFIGURE ->
                    "configure pools="
                            + pools.size()
                            + " members="
                            + members.size()
                            + " joins="
                            + joins.size();
            default -> kind.name().toLowerCase().replace('_', ' ') + " " + target;
        };
    }
}
