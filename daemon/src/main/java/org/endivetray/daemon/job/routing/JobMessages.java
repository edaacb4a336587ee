package org.endivetray.daemon.job.routing;

import java.nio.ByteBuffer;
import org.endivetray.job.ClientAccount;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobState;
import org.endivetray.job.QueueConfig;
import org.endivetray.wire.gen.JobAction;
import org.endivetray.wire.gen.JobReply;
import org.endivetray.wire.gen.JobRequest;
import org.endivetray.wire.gen.JobVerdict;
import org.endivetray.wire.gen.QueueTerms;

/**
 * Converts job requests and answers to messages between daemons and back.
 *
 * <p>This class has no state and is thread-safe.
 */
final class JobMessages {
    private JobMessages() {}

    static JobRequest request(
            JobAction action, QueueConfig queue, String account, String id, byte[] body) {
        QueueTerms terms =
                new QueueTerms(
                        queue.name(),
                        queue.priority(),
                        queue.attempts(),
                        queue.stretch(),
                        queue.targetLatencyMillis(),
                        queue.placementAdvice());
        JobRequest request =
                new JobRequest(action, queue.pool(), terms, id, ByteBuffer.wrap(body), true);
        return account.equals(ClientAccount.NONE) ? request : request.setAccount(account);
    }

    /**
     * Returns the queue as the sender has it configured, except for the host and path at which
     * callers reach it, which are not sent.
     */
    static QueueConfig queue(JobRequest request) {
        QueueTerms terms = request.getTerms();
        return new QueueConfig(
                terms.getQueueName(),
                "",
                "/",
                request.getPoolName(),
                terms.getPriority(),
                terms.getAttempts(),
                terms.getStretch(),
                terms.getTargetLatencyMillis(),
                terms.isPlacementAdvice());
    }

    /** Returns the client account of a request; daemons of earlier versions send none. */
    static String account(JobRequest request) {
        return request.isSetAccount() ? request.getAccount() : ClientAccount.NONE;
    }

    static JobReply reply(JobAnswer answer) {
        return new JobReply(
                switch (answer.verdict()) {
                    case OK -> JobVerdict.OK;
                    case REFUSED -> JobVerdict.REFUSED;
                    // Keys are checked where the caller is connected; an owner never rejects one.
                    case MALFORMED, UNAUTHORIZED -> JobVerdict.MALFORMED;
                    case NO_SUCH_JOB -> JobVerdict.NO_SUCH_JOB;
                    case UNKNOWN -> JobVerdict.UNKNOWN;
                },
                answer.state() == null ? "" : answer.state().name(),
                answer.pending(),
                answer.retryAfterMillis(),
                answer.reason());
    }

    static JobReply notOwner() {
        return new JobReply(JobVerdict.NOT_OWNER, "", -1, 0, "not the owner");
    }

    static JobAnswer answer(JobReply reply) {
        JobAnswer.Verdict verdict =
                switch (reply.getVerdict()) {
                    case OK -> JobAnswer.Verdict.OK;
                    case REFUSED -> JobAnswer.Verdict.REFUSED;
                    case MALFORMED -> JobAnswer.Verdict.MALFORMED;
                    case NO_SUCH_JOB -> JobAnswer.Verdict.NO_SUCH_JOB;
                    case UNKNOWN, NOT_OWNER -> JobAnswer.Verdict.UNKNOWN;
                };
        JobState state = reply.getState().isEmpty() ? null : JobState.valueOf(reply.getState());
        return new JobAnswer(
                verdict, state, reply.getPending(), reply.getRetryAfterMillis(), reply.getReason());
    }
}
