package org.endivetray.daemon.job.relay;

import java.util.List;
import org.endivetray.platform.SharedStore.Commit;
import org.endivetray.platform.SharedStore.CommitOutcome;
import org.endivetray.platform.SharedStore.CommitResult;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.platform.SharedStore.Range;
import org.endivetray.platform.SharedStore.Write;
import org.endivetray.platform.VersionedValue;
import org.endivetray.wire.gen.StoreCall;
import org.endivetray.wire.gen.StoreItem;
import org.endivetray.wire.gen.StoreOperation;
import org.endivetray.wire.gen.StoreReply;
import org.endivetray.wire.gen.StoreStatus;
import org.endivetray.wire.gen.StoreWrite;

/**
 * Converts calls of the shared store and their results to messages between daemons and back.
 *
 * <p>This class has no state and is thread-safe.
 */
final class StoreMessages {
    private StoreMessages() {}

    static StoreCall call(StoreOperation operation, String key, long number) {
        return new StoreCall(operation, key, number, 0, false, List.of(), List.of(), List.of());
    }

    static StoreCall call(Commit commit) {
        return call(StoreOperation.COMMIT, "", 0)
                .setConditions(
                        commit.conditions().stream()
                                .map(it -> new StoreItem(it.key(), it.version()))
                                .toList())
                .setWrites(
                        commit.writes().stream()
                                .map(
                                        it ->
                                                new StoreWrite(it.key(), null, it.lease())
                                                        .setValue(it.value()))
                                .toList())
                .setRemovals(commit.removals());
    }

    static Commit commit(StoreCall call) {
        return new Commit(
                call.getConditions().stream()
                        .map(it -> new Condition(it.getKey(), it.getVersion()))
                        .toList(),
                call.getWrites().stream()
                        .map(it -> new Write(it.getKey(), it.getValue(), it.getLease()))
                        .toList(),
                call.getRemovals());
    }

    static StoreReply reply(StoreStatus status) {
        return new StoreReply(status, 0, List.of());
    }

    static StoreReply done(long number) {
        return new StoreReply(StoreStatus.DONE, number, List.of());
    }

    static StoreReply done(VersionedValue value) {
        return new StoreReply(StoreStatus.DONE, 0, List.of(item(value)));
    }

    static StoreReply done(Range range) {
        return new StoreReply(StoreStatus.DONE, range.revision(), items(range.entries()));
    }

    static StoreReply reply(CommitResult result) {
        StoreStatus status =
                switch (result.outcome()) {
                    case DONE -> StoreStatus.DONE;
                    case CONFLICT -> StoreStatus.CONFLICT;
                    case NO_SUCH_LEASE -> StoreStatus.NO_SUCH_LEASE;
                    case NOT_DONE -> StoreStatus.NOT_REACHED;
                    case UNKNOWN -> StoreStatus.UNKNOWN;
                };
        return new StoreReply(status, result.revision(), items(result.current()));
    }

    static CommitResult commitResult(StoreReply reply) {
        CommitOutcome outcome =
                switch (reply.getStatus()) {
                    case DONE -> CommitOutcome.DONE;
                    case CONFLICT -> CommitOutcome.CONFLICT;
                    case NO_SUCH_LEASE -> CommitOutcome.NO_SUCH_LEASE;
                    case NOT_REACHED -> CommitOutcome.NOT_DONE;
                    case UNKNOWN, HISTORY_LOST -> CommitOutcome.UNKNOWN;
                };
        return new CommitResult(outcome, reply.getNumber(), values(reply.getItems()));
    }

    static Range range(StoreReply reply) {
        return new Range(reply.getNumber(), values(reply.getItems()));
    }

    static VersionedValue value(StoreReply reply) {
        return value(reply.getItems().get(0));
    }

    private static List<StoreItem> items(List<VersionedValue> values) {
        return values.stream().map(StoreMessages::item).toList();
    }

    private static StoreItem item(VersionedValue value) {
        StoreItem item = new StoreItem(value.key(), value.version());
        return value.isPresent() ? item.setValue(value.value()) : item;
    }

    private static List<VersionedValue> values(List<StoreItem> items) {
        return items.stream().map(StoreMessages::value).toList();
    }

    private static VersionedValue value(StoreItem item) {
        return new VersionedValue(
                item.getKey(), item.getVersion(), item.isSetValue() ? item.getValue() : null);
    }
}
