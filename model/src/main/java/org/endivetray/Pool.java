package org.endivetray;

import java.util.ArrayList;
import java.util.List;

/**
 * A set of workers that provides declared services under one availability budget.
 *
 * <p>Only the {@linkplain HostRecord host records} tell which workers belong to a pool.
 *
 * <p>Invariants: no component is null.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the unique name, not null
 * @param spare whether a drain or a wave may lend its workers to other pools
 * @param budget the availability budget, null for {@link AvailabilityBudget#NONE}
 * @param services the services that the pool provides, null for none
 */
public record Pool(
        String name, boolean spare, AvailabilityBudget budget, List<ServiceDeclaration> services) {
    public Pool {
        budget = budget == null ? AvailabilityBudget.NONE : budget;
        services = services == null ? List.of() : List.copyOf(services);
    }

    /** Returns a pool without services. */
    public static Pool of(String name, AvailabilityBudget budget) {
        return new Pool(name, false, budget, List.of());
    }

    /** Returns a copy with another budget. */
    public Pool withBudget(AvailabilityBudget budget) {
        return new Pool(name, spare, budget, services);
    }

    /** Returns a copy with the service, which replaces a declaration with the same name. */
    public Pool plusService(ServiceDeclaration service) {
        List<ServiceDeclaration> next = new ArrayList<>(services);
        next.removeIf(known -> known.name().equals(service.name()));
        next.add(service);
        return new Pool(name, spare, budget, next);
    }
}
