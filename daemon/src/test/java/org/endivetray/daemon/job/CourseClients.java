package org.endivetray.daemon.job;

import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobAnswer.Verdict;
import org.endivetray.job.JobState;

/**
 * The clients of a course, which repeat each call at any daemon until its answer is certain.
 *
 * <p>This class is not thread-safe.
 */
final class CourseClients {
    private static final long RETRY_MILLIS = 700;
    private static final int MAX_TRIES = 40;
    private static final int LASTING_EACH = 5;

    private final DaemonWorld mWorld;
    private final Random mRandom;
    private final Consumer<String> mLog;
    private final Map<String, ClientJob> mJobs = new TreeMap<>();

    /** A job as its client sees it. */
    static final class ClientJob {
        final String mId;
        final String mBody;
        final boolean mIsLasting;
        boolean mIsAccepted;
        boolean mIsCancelSent;
        long mCancelledMillis;
        JobState mState;

        private ClientJob(String id, String body, boolean isLasting) {
            mId = id;
            mBody = body;
            mIsLasting = isLasting;
        }
    }

    /**
     * Constructs clients that have no jobs.
     *
     * @param world the daemons, not null
     * @param random random choices, not null
     * @param log receives what clients do, not null
     */
    CourseClients(DaemonWorld world, Random random, Consumer<String> log) {
        mWorld = world;
        mRandom = random;
        mLog = log;
    }

    Map<String, ClientJob> jobs() {
        return mJobs;
    }

    /** Asks for the states of all jobs until they are final. */
    void askStates() {
        mJobs.values().forEach(job -> askState(job, 0));
    }

    /** Returns whether the states of all accepted jobs are known and final. */
    boolean areStatesFinal() {
        return mJobs.values().stream()
                .filter(job -> job.mIsAccepted)
                .allMatch(job -> job.mState != null && job.mState.isFinal());
    }

    private SimulatedDaemon anyDaemon() {
        List<String> names = mWorld.daemonNames();
        return mWorld.daemon(names.get(mRandom.nextInt(names.size())));
    }

    private void later(long millis, Runnable work) {
        mWorld.clock().schedule(millis, work);
    }

    /** Submits the job with a number; each fifth goes on until it is cancelled. */
    void submit(int number) {
        String id = String.format("%016x", number + 1);
        boolean isLasting = number % LASTING_EACH == LASTING_EACH - 1;
        String work = "\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":500";
        String steps =
                isLasting
                        ? "{\"count\":2,\"long_running\":true," + work + "}"
                        : "{\"count\":3," + work + "},{\"count\":2,\"after\":[0]," + work + "}";
        ClientJob job =
                new ClientJob(id, "{\"spec\":\"payload\",\"steps\":[" + steps + "]}", isLasting);
        mJobs.put(id, job);
        trySubmit(job, 0);
    }

    /** Returns whether a task goes on until its job is cancelled. */
    boolean isLasting(String task) {
        return mJobs.get(task.substring(0, task.indexOf('.'))).mIsLasting;
    }

    /** Cancels the jobs that would go on otherwise. */
    void cancelLasting() {
        mJobs.values().stream()
                .filter(job -> job.mIsLasting && job.mIsAccepted && !job.mIsCancelSent)
                .forEach(job -> tryCancel(job, 0));
    }

    /** Calls a daemon until the answer is certain, as a client with its load balancer does. */
    private void call(
            int tries,
            Function<SimulatedDaemon, Future<JobAnswer>> call,
            Predicate<JobAnswer> onAnswer,
            Runnable retry) {
        SimulatedDaemon daemon = anyDaemon();
        boolean[] isOver = {false};
        if (!daemon.process().isDead()) {
            daemon.process()
                    .arrive(
                            () ->
                                    call.apply(daemon)
                                            .onSuccess(
                                                    answer ->
                                                            isOver[0] |=
                                                                    !isOver[0]
                                                                            && onAnswer.test(
                                                                                    answer)));
        }
        later(
                RETRY_MILLIS + mRandom.nextInt(1_500),
                () -> {
                    if (!isOver[0] && tries < MAX_TRIES) {
                        isOver[0] = true;
                        retry.run();
                    }
                });
    }

    private void trySubmit(ClientJob job, int tries) {
        byte[] body = job.mBody.getBytes(StandardCharsets.UTF_8);
        call(
                tries,
                daemon -> daemon.router().submit(DaemonWorld.QUEUE, "", job.mId, body),
                answer -> {
                    job.mIsAccepted |= answer.verdict() == Verdict.OK;
                    return job.mIsAccepted;
                },
                () -> trySubmit(job, tries + 1));
    }

    /** Cancels one of the accepted jobs. */
    void cancelOne() {
        List<ClientJob> open =
                mJobs.values().stream().filter(j -> j.mIsAccepted && !j.mIsCancelSent).toList();
        if (!open.isEmpty()) {
            ClientJob job = open.get(mRandom.nextInt(open.size()));
            mLog.accept("cancel " + job.mId);
            tryCancel(job, 0);
        }
    }

    private void tryCancel(ClientJob job, int tries) {
        job.mIsCancelSent = true;
        call(
                tries,
                daemon -> daemon.router().cancel(DaemonWorld.QUEUE, job.mId),
                answer -> {
                    if (answer.verdict() == Verdict.OK && job.mCancelledMillis == 0) {
                        job.mCancelledMillis = mWorld.clock().millis();
                        mLog.accept("cancelled " + job.mId);
                    }
                    return answer.verdict() == Verdict.OK;
                },
                () -> tryCancel(job, tries + 1));
    }

    private void askState(ClientJob job, int tries) {
        call(
                tries,
                daemon -> daemon.router().state(DaemonWorld.QUEUE, job.mId),
                answer -> {
                    boolean isKnown = answer.verdict() == Verdict.OK;
                    job.mState = isKnown ? answer.state() : job.mState;
                    return isKnown && job.mState.isFinal();
                },
                () -> askState(job, tries + 1));
    }
}
