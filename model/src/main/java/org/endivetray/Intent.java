package org.endivetray;

import java.util.List;
import java.util.Map;

/**
 * A change that an operator requests and for which a plan is computed.
 *
 * <p>Invariants: no component is null; an absent component other than the kind is empty.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param kind the kind of change, not null
 * @param target name of the rack, worker, availability zone or pool to change, or empty
 * @param count number of workers to lend, 0 for other kinds
 * @param from name of the lending pool, or empty
 * @param to name of the borrowing pool, or empty
 * @param pools pools to create or replace
 * @param members members to create or replace
 * @param joins host records of workers that join a pool
 * @param expect required version of the record of a pool, by pool name; pools that are not listed
 *     may have any version
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

    /** Returns an intent to change one rack, worker, availability zone or pool. */
    public static Intent of(IntentKind kind, String target) {
        return new Intent(kind, target, 0, "", "", List.of(), List.of(), List.of(), Map.of());
    }

    /** Returns an intent to lend workers from one pool to another. */
    public static Intent ofLoan(int count, String from, String to) {
        return new Intent(
                IntentKind.LEND, "", count, from, to, List.of(), List.of(), List.of(), Map.of());
    }

    /** Returns an intent to change configuration. */
    public static Intent ofConfiguration(
            List<Pool> pools,
            List<Member> members,
            List<HostRecord> joins,
            Map<String, Long> expect) {
        return new Intent(IntentKind.CONFIGURE, "", 0, "", "", pools, members, joins, expect);
    }

    /** Returns a one-line description for operators. */
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
