package org.endivetray.job;

import java.util.Set;

/**
 * A client account in the operators' configuration.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name name of the account, not null
 * @param keys the API keys that are valid for it, not null
 * @param priority priority of the account, 0 is the highest
 * @param weight number of submissions a second that the account is entitled to; also its share of
 *     the capacity when there is too little, 0 if not configured
 * @param cap what the tasks of the account may take at the same time in all pools together; an
 *     amount of 0 is not limited; not null
 */
public record ClientAccount(
        String name, Set<String> keys, int priority, double weight, Resources cap) {
    /** Name that stands for jobs without a client account. */
    public static final String NONE = "";

    public ClientAccount {
        keys = Set.copyOf(keys);
    }

    /** Returns whether any resource of the account is limited. */
    public boolean isCapped() {
        return cap.cpuMillis() > 0 || cap.memoryMb() > 0 || cap.gpus() > 0;
    }
}
