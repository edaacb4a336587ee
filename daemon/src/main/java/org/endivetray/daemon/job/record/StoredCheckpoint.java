package org.endivetray.daemon.job.record;

import java.util.Objects;

/**
 * The stored form of a checkpoint that is too long for the record with the progress of its task.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param checkpoint the checkpoint, not null
 */
public record StoredCheckpoint(String checkpoint) {
    public StoredCheckpoint {
        Objects.requireNonNull(checkpoint);
    }
}
