package org.endivetray.daemon.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.endivetray.daemon.state.Snapshot;
import org.endivetray.daemon.state.StateView;
import org.endivetray.platform.VersionedValue;
import org.endivetray.wire.gen.Body;
import org.endivetray.wire.gen.ConfigPull;
import org.endivetray.wire.gen.ConfigPush;
import org.endivetray.wire.gen.ConfigRecord;

/**
 * Exchanges stored records with peers, so that a daemon that cannot reach the store gets the
 * records that its peers have.
 *
 * <p>Invariants: a reply contains every record that changed after the requested revision, up to the
 * revision of the reply.
 *
 * <p>This class is thread-safe.
 */
final class ConfigExchange {
    private final StateView mView;

    ConfigExchange(StateView view) {
        mView = view;
    }

    /** Returns the message that requests the records that changed after this daemon's revision. */
    Body pullRequest() {
        return Body.configPull(new ConfigPull(mView.snapshot().revision()));
    }

    /** Returns the reply to a peer's request, with the records that changed after its revision. */
    Body onPull(ConfigPull pull) {
        Snapshot snapshot = mView.snapshot();
        List<ConfigRecord> records = new ArrayList<>();
        for (VersionedValue value : snapshot.changedAfter(pull.getAfterRevision())) {
            byte[] bytes = value.isPresent() ? value.value() : new byte[0];
            records.add(
                    new ConfigRecord(
                            value.key(),
                            value.version(),
                            ByteBuffer.wrap(bytes),
                            !value.isPresent()));
        }
        return Body.configPush(new ConfigPush(snapshot.revision(), records));
    }

    /** Applies the records of a peer's reply. */
    void onReply(Body reply) {
        if (!reply.isSetConfigPush()) {
            return;
        }
        ConfigPush push = reply.getConfigPush();
        List<VersionedValue> values = new ArrayList<>();
        for (ConfigRecord pushed : push.getRecords()) {
            byte[] value = pushed.isDeleted() ? null : pushed.getValue();
            values.add(new VersionedValue(pushed.getKey(), pushed.getRevision(), value));
        }
        mView.onValues(values, push.getRevision());
    }
}
