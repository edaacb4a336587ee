package org.endivetray.daemon.job.relay;

import io.vertx.core.Future;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;
import org.endivetray.platform.SharedStore;
import org.endivetray.wire.gen.StoreCall;
import org.endivetray.wire.gen.StoreReply;
import org.endivetray.wire.gen.StoreStatus;

/**
 * Makes calls of the shared store for daemons that do not reach it.
 *
 * <p>Invariants: a call is made on the store itself and never passed on to a third daemon.
 *
 * <p>This class is immutable and thread-safe.
 */
public final class StoreCallHandler {
    private final RelayingStore mStore;

    /**
     * Constructs a handler.
     *
     * @param store this daemon's store, not null
     */
    public StoreCallHandler(RelayingStore store) {
        mStore = store;
    }

    /** Makes a call and returns its reply, which tells whether the store was reached. */
    public Future<StoreReply> handle(StoreCall call) {
        SharedStore store = mStore.direct();
        if (!mStore.isReachable()) {
            return Future.succeededFuture(StoreMessages.reply(StoreStatus.NOT_REACHED));
        }
        String key = call.getKey();
        long number = call.getNumber();
        Future<StoreReply> reply =
                switch (call.getOperation()) {
                    case READ -> store.read(key).map(StoreMessages::done);
                    case LIST -> store.list(key, call.isMayBeStale()).map(StoreMessages::done);
                    case WATCH ->
                            mStore.watchDirectly(key, number, call.getWaitMillis())
                                    .map(StoreMessages::done);
                    case COMMIT ->
                            store.commit(StoreMessages.commit(call)).map(StoreMessages::reply);
                    case CREATE_LEASE -> store.createLease(number).map(StoreMessages::done);
                    case RENEW_LEASE ->
                            store.renewLease(number)
                                    .map(exists -> StoreMessages.done(exists ? 1L : 0L));
                    case END_LEASE -> store.endLease(number).map(ignored -> StoreMessages.done(0L));
                };
        return reply.otherwise(StoreCallHandler::failure);
    }

    private static StoreReply failure(Throwable cause) {
        boolean isHistoryLost =
                cause instanceof EndivetrayException e && e.code() == ResultCode.HISTORY_LOST;
        return StoreMessages.reply(
                isHistoryLost ? StoreStatus.HISTORY_LOST : StoreStatus.NOT_REACHED);
    }
}
