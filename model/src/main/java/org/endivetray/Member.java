package org.endivetray;

/**
 * A company or team on whose behalf requests are sent.
 *
 * <p>Invariants: the name is not null; the weight is at least 1.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the unique name, not null
 * @param weight share of a contended service relative to other members, values below 1 count as 1
 */
public record Member(String name, int weight) {
    public Member {
        weight = Math.max(1, weight);
    }
}
