package org.endivetray.daemon.job.routing;

import io.vertx.core.Future;
import java.util.function.Supplier;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobAnswer.Verdict;
import org.endivetray.wire.gen.JobReply;
import org.endivetray.wire.gen.JobVerdict;

/**
 * The reply of the owner of a pool's shard.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param answer the answer, null if there was none
 * @param mayHaveReached whether the owner may have carried the request out although there is no
 *     answer
 */
record OwnerReply(JobAnswer answer, boolean mayHaveReached) {
    /** Returns the reply in a message; one of a daemon that is not the owner has no answer. */
    static OwnerReply ofReply(JobReply reply) {
        return reply.getVerdict() == JobVerdict.NOT_OWNER
                ? new OwnerReply(null, false)
                : new OwnerReply(JobMessages.answer(reply), false);
    }

    /** Returns whether an owner has answered and knows the job. */
    boolean isAnswered() {
        return answer != null && answer.verdict() != Verdict.NO_SUCH_JOB;
    }

    /**
     * Returns the owner's answer or, if it gave none or does not know the job, that of a fallback,
     * whose refusal is none if the owner may have carried the request out.
     */
    Future<JobAnswer> orElse(Supplier<Future<JobAnswer>> fallback) {
        if (isAnswered()) {
            return Future.succeededFuture(answer);
        }
        return fallback.get()
                .map(
                        other ->
                                mayHaveReached && other.verdict() == Verdict.REFUSED
                                        ? JobAnswer.unknown(other.reason())
                                        : other);
    }
}
