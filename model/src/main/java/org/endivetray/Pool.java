package org.endivetray;

import java.util.ArrayList;
import java.util.List;

/**
 * A set of workers that carries declared services under one availability budget.
 *
 * <p>Which workers belong to a pool is said by their host records only.
 *
 * <p>Invariants: no component is null.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the unique name, not null
 * @param spare whether its workers may be lent to other pools by a drain or a wave
 * @param budget the availability budget, not null
 * @param services the services that the pool carries, not null
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

    /** Returns a copy that carries the service, replacing an earlier declaration of the name. */
    public Pool plusService(ServiceDeclaration service) {
        List<ServiceDeclaration> next = new ArrayList<>(services);
        next.removeIf(known -> known.name().equals(service.name()));
        next.add(service);
        return new Pool(name, spare, budget, next);
    }
}
