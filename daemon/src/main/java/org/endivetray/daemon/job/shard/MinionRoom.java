package org.endivetray.daemon.job.shard;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.endivetray.job.MinionInfo;
import org.endivetray.job.Resources;
import org.endivetray.job.StepSpec;

/**
 * The resources of one minion: those that its tasks reserve, and those that listed runs take which
 * are no current runs of a task.
 *
 * <p>Invariants: the resources in use are the sum of the needs of the tasks that are reserved.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class MinionRoom {
    private MinionInfo mInfo;
    private int mUsedCpuMillis;
    private int mUsedMemoryMb;
    private int mUsedGpus;

    /** Runs that are no current run of a task and are being stopped, as listed last. */
    private final List<Orphan> mOrphans = new ArrayList<>();

    /** Names of the tasks of these runs. */
    private final Set<String> mOrphanTasks = new HashSet<>();

    /** Whether a run of an unknown job was listed last, of which the needs are not known. */
    private boolean mHasUnknownOrphan;

    MinionRoom(MinionInfo info) {
        mInfo = info;
    }

    /** Sets what the minion has in all. */
    void updateInfo(MinionInfo info) {
        mInfo = info;
    }

    /** Reserves the resources of a task of a step. */
    void reserve(StepSpec spec) {
        mUsedCpuMillis += spec.reservedCpuMillis();
        mUsedMemoryMb += spec.memoryMb();
        mUsedGpus += spec.gpus();
    }

    /** Frees the resources of a task of a step. */
    void release(StepSpec spec) {
        mUsedCpuMillis -= spec.reservedCpuMillis();
        mUsedMemoryMb -= spec.memoryMb();
        mUsedGpus -= spec.gpus();
    }

    /** Returns whether a task of a step fits into the free resources. */
    boolean fits(StepSpec spec) {
        return countThatFit(spec, 0, 0, 0) > 0;
    }

    /**
     * Returns how many tasks of a step fit into the resources that are free once those of ended
     * runs are.
     *
     * @param releasedCpuMillis CPU that the runs release, in thousandths of a core
     * @param releasedMemoryMb memory that they release, in megabytes
     * @param releasedGpus number of accelerators that they release
     */
    int countThatFit(StepSpec spec, int releasedCpuMillis, int releasedMemoryMb, int releasedGpus) {
        int cpuMillis = mInfo.cpuMillis() - mUsedCpuMillis + releasedCpuMillis;
        int memoryMb = mInfo.memoryMb() - mUsedMemoryMb + releasedMemoryMb;
        int gpus = mInfo.gpus() - mUsedGpus + releasedGpus;
        for (Orphan each : mOrphans) {
            StepSpec orphan = each.needs();
            cpuMillis -= orphan.reservedCpuMillis();
            memoryMb -= orphan.memoryMb();
            gpus -= orphan.gpus();
        }
        return Math.min(
                times(spec.reservedCpuMillis(), cpuMillis),
                Math.min(times(spec.memoryMb(), memoryMb), times(spec.gpus(), gpus)));
    }

    /** Returns how many times a need fits into what is free, 0 if that is negative. */
    private static int times(int need, int free) {
        if (free < 0) {
            return 0;
        }
        return need == 0 ? Integer.MAX_VALUE : free / need;
    }

    /** Forgets the runs without a task that an earlier listing has named. */
    void clearOrphans() {
        mOrphans.clear();
        mOrphanTasks.clear();
        mHasUnknownOrphan = false;
    }

    /**
     * Counts a listed run that is no current run of its task.
     *
     * @param task name of the task, not null
     * @param needs what the run takes, empty if it is not known
     * @param account name of the client account, not null
     */
    void addOrphan(String task, Optional<StepSpec> needs, String account) {
        mOrphanTasks.add(task);
        needs.ifPresent(present -> mOrphans.add(new Orphan(present, account)));
        mHasUnknownOrphan |= needs.isEmpty();
    }

    /** Returns the listed runs that are no current runs of a task and whose needs are known. */
    List<Orphan> orphans() {
        return mOrphans;
    }

    /** Returns the names of the tasks whose listed runs are no current ones. */
    Set<String> orphanTasks() {
        return mOrphanTasks;
    }

    /** Returns whether a run is listed that is no current run of a task. */
    boolean hasOrphans() {
        return mHasUnknownOrphan || !mOrphans.isEmpty();
    }

    /** Returns whether a run is listed of which the needs are not known. */
    boolean hasUnknownOrphan() {
        return mHasUnknownOrphan;
    }

    int freeCpuMillis() {
        return mInfo.cpuMillis() - mUsedCpuMillis;
    }

    /** Returns what tasks could still take. */
    Resources free() {
        return new Resources(
                mInfo.cpuMillis() - mUsedCpuMillis,
                mInfo.memoryMb() - mUsedMemoryMb,
                mInfo.gpus() - mUsedGpus);
    }

    int usedCpuMillis() {
        return mUsedCpuMillis;
    }

    /**
     * A listed run that is no current run of a task.
     *
     * @param needs the step of its task, not null
     * @param account the client account of its job, empty for none, not null
     */
    record Orphan(StepSpec needs, String account) {}
}
